//! Answers that say who gave them: two runs of one request are told apart by what they answered.

/// The text of an answer's token, from 1. Where the prompt asks for it by `[signed]` the first one names the host and the attempt.
pub(crate) fn word(prompt: &str, host: &str, run: &str, token: u32) -> String {
    match token == 1 && prompt.contains("[signed]") {
        true => format!("{host}/{run} "),
        false => format!("w{token} "),
    }
}
