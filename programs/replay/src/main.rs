//! See the library of the same name.

fn main() -> std::process::ExitCode {
    bitternlatch_replay::main_from(std::env::args_os())
}
