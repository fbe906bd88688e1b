//! Failing tables, and whether they keep a VM from scheduling.

use geraniumrelay_adapter::Table;

use crate::leased::store_health::StoreHealth;

#[test]
fn failing_records_matter_only_where_there_may_be_durable_jobs() {
    let mut health = StoreHealth::default();
    health.set(Table::DurableJobs, false);
    assert!(!health.has_store(), "records never read");
    health.records_read();
    assert!(health.has_store());
    health.durable_job_seen();
    assert!(!health.has_store());
    health.set(Table::DurableJobs, true);
    assert!(health.has_store());
}

#[test]
fn each_other_failing_table_matters() {
    for table in [Table::Configuration, Table::Workers, Table::EntryVms] {
        let mut health = StoreHealth::default();
        health.records_read();
        health.set(table, false);
        assert!(!health.has_store(), "{table}");
        health.set(table, true);
        assert!(health.has_store(), "{table}");
    }
}
