//! Simulated fleet: dispatchers with their disks, workers that run workflows, and a tool server that counts effects. A dispatcher
//! may be stopped before any single output: a frame to another replica, a disk write, an answer to a worker, a call to the tool
//! server.

pub mod actors;
pub mod course;
