//! A scripted bad day: stand-in hosts, dispatchers as processes, clients and troubles, judged from the sockets.

pub mod agents;
pub mod between;
pub mod client;
pub mod clients;
pub mod day;
mod links;
pub mod manners;
pub mod parted;
pub mod process;
pub mod run;
pub mod secured;
pub mod views;
