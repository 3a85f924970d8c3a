//! The names behind the indexes that the decision module is given.

use crate::error::Result;
use crate::facts::RawSettings;

/// The names of what the settings count, each in the order of its index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Kinds of servers.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Fields of a load report.
    pub report_fields: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
}

/// The names of classes, kinds of servers, zones, report fields and tenants.
///
/// # Errors
/// A class or a tenant without a name, or a count that cannot be read.
pub fn read_names(facts: &RawSettings) -> Result<Names> {
    let tenant_count = facts.count_or_zero("customers.count")?;
    let class_count = facts.count("classes.count")?;
    Ok(Names {
        classes: names_of_items(facts, "classes", class_count)?,
        kinds: names_in_list(facts, "kinds"),
        zones: names_in_list(facts, "zones"),
        report_fields: names_in_list(facts, "report.fields"),
        tenants: names_of_items(facts, "customers", tenant_count)?,
    })
}

fn names_in_list(facts: &RawSettings, key: &str) -> Vec<String> {
    facts.list(key).into_iter().map(str::to_string).collect()
}

fn names_of_items(facts: &RawSettings, list: &str, count: u32) -> Result<Vec<String>> {
    let name = |index| Ok(facts.text(&format!("{list}.{index}.name"))?.to_string());
    (0..count).map(name).collect()
}
