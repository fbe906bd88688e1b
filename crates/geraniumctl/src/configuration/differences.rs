//! What differs between two configurations.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::finding::{Finding, Source, as_json};
use super::{Configuration, Route, Service};

/// Finds what `new` changes in `old`, and an error where its version is not higher.
pub fn compare(new: &Configuration, old: &Configuration) -> Vec<Finding> {
    let mut out = Vec::new();
    if new.version <= old.version {
        let message = "the version is not higher, so the configuration does not come into force";
        let finding = Finding::error(Source::Checked, "version".to_owned(), message);
        let finding = finding.with_value(&new.version);
        out.push(finding.allowing(format!("at least {}", old.version.saturating_add(1))));
    } else {
        differ(&mut out, "version", (&old.version, &new.version));
    }
    let routes = (&old.routes[..], &new.routes[..]);
    entries(&mut out, "routes", routes, |r| &r.name, compare_routes);
    let services = (&old.services[..], &new.services[..]);
    entries(
        &mut out,
        "services",
        services,
        |s| &s.name,
        compare_services,
    );
    let (was, is) = (&old.limits, &new.limits);
    let sizes = (&was.max_body_bytes, &is.max_body_bytes);
    differ(&mut out, "limits.max_body_bytes", sizes);
    let timeouts = (&was.header_timeout_ms, &is.header_timeout_ms);
    differ(&mut out, "limits.header_timeout_ms", timeouts);
    out
}

/// Compares the entries of the same name; those with the name of an earlier entry by their order.
fn entries<T>(
    out: &mut Vec<Finding>,
    list: &str,
    (old, new): (&[T], &[T]),
    name: fn(&T) -> &str,
    compare: fn(&mut Vec<Finding>, &str, &T, &T),
) {
    let (old, new) = (keyed(old, name), keyed(new, name));
    let former: BTreeMap<Key<'_>, &T> = old.iter().copied().collect();
    for (number, &(key, entry)) in new.iter().enumerate() {
        let place = format!("{list}[{number}]");
        if let Some(former) = former.get(&key) {
            compare(out, &place, former, entry);
        } else {
            let finding = Finding::change(Source::Checked, place, "added");
            out.push(finding.with_value(&name(entry)));
        }
    }
    let present: BTreeSet<Key<'_>> = new.iter().map(|&(key, _)| key).collect();
    for (number, (key, entry)) in old.iter().enumerate() {
        if !present.contains(key) {
            let place = format!("{list}[{number}]");
            let finding = Finding::change(Source::Against, place, "removed");
            out.push(finding.with_value(&name(entry)));
        }
    }
}

/// Name of an entry, and the number of earlier entries of that name.
type Key<'a> = (&'a str, usize);

fn keyed<T>(list: &[T], name: fn(&T) -> &str) -> Vec<(Key<'_>, &T)> {
    let mut counts = BTreeMap::new();
    let key = |entry| {
        let count = counts.entry(name(entry)).or_insert(0);
        *count += 1;
        ((name(entry), *count - 1), entry)
    };
    list.iter().map(key).collect()
}

fn compare_routes(out: &mut Vec<Finding>, place: &str, old: &Route, new: &Route) {
    macro_rules! differ {
        ($($field:ident),*) => {
            $(differ(out, &format!("{place}.{}", stringify!($field)), (&old.$field, &new.$field));)*
        };
    }
    differ!(
        host,
        path_prefix,
        service,
        timeout_ms,
        target_latency_ms,
        priority,
        max_attempts,
        stretch
    );
}

fn compare_services(out: &mut Vec<Finding>, place: &str, old: &Service, new: &Service) {
    let place = format!("{place}.enforces_capacity");
    differ(
        out,
        &place,
        (&old.enforces_capacity, &new.enforces_capacity),
    );
}

fn differ<T: PartialEq + Serialize>(out: &mut Vec<Finding>, place: &str, (old, new): (&T, &T)) {
    if old != new {
        let message = format!("was {}", as_json(old));
        let finding = Finding::change(Source::Checked, place.to_owned(), message);
        out.push(finding.with_value(new));
    }
}
