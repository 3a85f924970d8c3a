//! CSV format with a header row. Columns may be in any order; unknown columns are ignored.

use crate::{Fault, RawServer};

pub(crate) fn read(text: &str) -> Result<Vec<RawServer>, Fault> {
    let mut reader = csv::ReaderBuilder::new()
        .comment(Some(b'#'))
        .from_reader(text.as_bytes());
    let headers = reader.headers().map_err(fault)?.clone();
    let headers: Vec<String> = headers
        .iter()
        .map(|h| h.trim().to_ascii_lowercase())
        .collect();
    let Some(name_at) = headers.iter().position(|h| h == "name" || h == "host") else {
        return Err(Fault {
            line: 1,
            cause: "the header row has no column 'name' or 'host'".to_string(),
        });
    };
    for (i, header) in headers.iter().enumerate() {
        if headers[..i].contains(header) && !header.is_empty() {
            return Err(Fault {
                line: 1,
                cause: format!("the header row names column '{header}' twice"),
            });
        }
    }
    let mut servers = Vec::new();
    for record in reader.records() {
        let record = record.map_err(fault)?;
        let line = record.position().map_or(0, |p| p.line());
        let fields = headers
            .iter()
            .cloned()
            .zip(record.iter().map(str::to_string))
            .collect();
        servers.push(RawServer {
            name: record.get(name_at).unwrap_or("").to_string(),
            line,
            fields,
        });
    }
    Ok(servers)
}

fn fault(e: csv::Error) -> Fault {
    let line = e.position().map_or(0, |p| p.line());
    let cause = match e.kind() {
        csv::ErrorKind::UnequalLengths {
            expected_len, len, ..
        } => {
            format!("this row has {len} fields, the header {expected_len}")
        }
        csv::ErrorKind::Utf8 { .. } => "this row is not UTF-8".to_string(),
        _ => e.to_string(),
    };
    Fault { line, cause }
}
