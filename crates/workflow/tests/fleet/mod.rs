//! Dispatchers with their disks, workers that carry workflows, and a tool that counts effects, in simulated time. A dispatcher
//! may be stopped before any single thing that it does: a frame to a copy, a write to its disk, a word to its worker, a call.

pub mod actors;
pub mod course;
