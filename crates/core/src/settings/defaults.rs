//! Default values of single settings; the function names follow the keys of the settings file.

pub(super) fn sessions() -> usize {
    6_000
}
pub(super) fn session_requests() -> usize {
    64
}
pub(super) fn message_bytes() -> usize {
    1 << 20
}
pub(super) fn handshake_s() -> f64 {
    5.0
}
pub(super) fn handshakes() -> usize {
    512
}
pub(super) fn idle_s() -> f64 {
    3600.0
}
pub(super) fn ping_s() -> f64 {
    20.0
}
pub(super) fn client_queue() -> usize {
    1024
}
pub(super) fn reread_s() -> f64 {
    0.1
}
pub(super) fn skew_s() -> u64 {
    30
}
pub(super) fn refresh_s() -> f64 {
    60.0
}
pub(super) fn keep_s() -> f64 {
    86_400.0
}
pub(super) fn yes() -> bool {
    true
}
