//! The `bitternlatch-dispatch` program; its code is in the library.

fn main() -> std::process::ExitCode {
    bitternlatch_dispatch::main_from(std::env::args_os())
}
