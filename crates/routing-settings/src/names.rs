//! Names of the classes, kinds, zones and tenants that the decision module knows only by index.

use crate::error::Result;
use crate::facts::RawSettings;

/// Names of the request classes, kinds of servers, zones, load report fields and tenants in the settings. The position
/// of a name in its list is the index by which the decision module knows the item.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the kinds of servers.
    pub kinds: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the fields of a load report.
    pub report_fields: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
}

/// Reads the names of classes, kinds of servers, zones, report fields and tenants.
///
/// # Errors
/// Fails on a class or tenant without a name, and on a count that cannot be parsed.
pub fn read_names(settings: &RawSettings) -> Result<Names> {
    let tenant_count = settings.count_or_zero("customers.count")?;
    let class_count = settings.count("classes.count")?;
    Ok(Names {
        classes: item_names(settings, "classes", class_count)?,
        kinds: listed_names(settings, "kinds"),
        zones: listed_names(settings, "zones"),
        report_fields: listed_names(settings, "report.fields"),
        tenants: item_names(settings, "customers", tenant_count)?,
    })
}

fn listed_names(settings: &RawSettings, key: &str) -> Vec<String> {
    settings.list(key).into_iter().map(str::to_string).collect()
}

fn item_names(settings: &RawSettings, list: &str, count: u32) -> Result<Vec<String>> {
    let name = |index| Ok(settings.text(&format!("{list}.{index}.name"))?.to_string());
    (0..count).map(name).collect()
}
