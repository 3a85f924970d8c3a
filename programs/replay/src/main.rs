//! The `bitternlatch-replay` program; its code is in the library.

fn main() -> std::process::ExitCode {
    bitternlatch_replay::main_from(std::env::args_os())
}
