//! The platform's list of VMs: read for one data centre, and in full only after a change.

use geraniumrelay_platform::{PlatformClient, PlatformConfig, VmListing};
use geraniumrelay_testkit::PlatformStandIn;
use geraniumrelay_wire::Vm;

fn vm(name: &str, role: &str, data_centre: &str) -> Vm {
    Vm {
        name: name.to_owned(),
        role: role.to_owned(),
        data_centre: data_centre.to_owned(),
        ..Vm::default()
    }
}

fn names(listing: &VmListing) -> Vec<&str> {
    listing.list.vms.iter().map(|vm| vm.name.as_str()).collect()
}

#[test]
fn unchanged_lists_and_targets_of_other_data_centres_are_not_read() {
    let platform = PlatformStandIn::start();
    let client = PlatformClient::new(PlatformConfig::new(platform.url()));
    let mut vms = vec![
        vm("e1", "entry", "szeged"),
        vm("e2", "entry", "gyor"),
        vm("t1", "target", "szeged"),
        vm("t2", "target", "gyor"),
    ];
    platform.set_vms(vms.clone());
    let first = client.vms("szeged", None).unwrap().expect("a list");
    assert_eq!(names(&first), ["e1", "e2", "t1"]);
    assert_eq!(client.vms("szeged", first.tag.as_deref()), Ok(None));

    vms[2].leaving = true;
    platform.set_vms(vms);
    let second = client
        .vms("szeged", first.tag.as_deref())
        .unwrap()
        .expect("a changed list");
    assert!(second.list.vms[2].leaving);
    assert_ne!(first.tag, second.tag);
}
