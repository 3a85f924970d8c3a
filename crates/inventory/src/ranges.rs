//! Host ranges in Ansible's syntax: `box-[1:7]`, `box-[01:50]` (zero-padded), `rack-[a:f]`, `box-[1:9:2]` (with a step).

/// Expands a pattern, which may contain several ranges, into the names it denotes, in order.
///
/// # Errors
/// A range that is not closed, has its end before its start, mixes letters with digits, or yields more than `max` names.
pub fn expand(pattern: &str, max: usize) -> Result<Vec<String>, String> {
    let Some(open) = pattern.find('[') else {
        return Ok(vec![pattern.to_string()]);
    };
    let invalid = |cause: &str| format!("host range '{pattern}' {cause}");
    let close = pattern[open..]
        .find(']')
        .map(|i| i + open)
        .ok_or_else(|| invalid("has no closing ']'"))?;
    let (head, tail) = (&pattern[..open], &pattern[close + 1..]);
    let parts: Vec<&str> = pattern[open + 1..close].split(':').collect();
    let (from, to, step) = match parts.as_slice() {
        [from, to] => (*from, *to, 1),
        [from, to, step] => {
            let step = step.parse::<u64>().ok().filter(|s| *s > 0);
            (
                *from,
                *to,
                step.ok_or_else(|| invalid("has a step that is no whole number above 0"))?,
            )
        }
        _ => return Err(invalid("is not of the form [from:to] or [from:to:step]")),
    };
    let middles = steps(from, to, step, max).map_err(|cause| invalid(&cause))?;
    let rest = expand(tail, max)?;
    if middles.len().saturating_mul(rest.len()) > max {
        return Err(invalid(&format!(
            "gives more names than the {max} that a list may still hold"
        )));
    }
    Ok(middles
        .iter()
        .flat_map(|m| rest.iter().map(move |r| format!("{head}{m}{r}")))
        .collect())
}

fn steps(from: &str, to: &str, step: u64, max: usize) -> Result<Vec<String>, String> {
    let letter = |s: &str| {
        s.chars()
            .next()
            .filter(|c| s.len() == 1 && c.is_ascii_alphabetic())
    };
    if let (Some(a), Some(b)) = (letter(from), letter(to)) {
        let letters: Vec<String> = (a..=b).step_by(step as usize).map(String::from).collect();
        return if letters.is_empty() {
            Err("runs backwards".into())
        } else {
            Ok(letters)
        };
    }
    let number = |s: &str| {
        s.parse::<u64>()
            .map_err(|_| format!("has '{s}' where a number is expected"))
    };
    let (a, b) = (number(from)?, number(to)?);
    let padded = from.starts_with('0') && from.len() > 1;
    if padded && from.len() != to.len() {
        return Err("has ends of unlike width".into());
    }
    if a > b {
        return Err("runs backwards".into());
    }
    if (b - a) / step >= max as u64 {
        return Err(format!(
            "gives more names than the {max} that a list may still hold"
        ));
    }
    let width = if padded { from.len() } else { 0 };
    Ok((a..=b)
        .step_by(step as usize)
        .map(|n| format!("{n:0width$}"))
        .collect())
}
