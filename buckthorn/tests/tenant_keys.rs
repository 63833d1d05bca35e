//! Keys of tenants: which tenant a call belongs to, and that no text reveals a key.

use buckthorn::tenant::admission::{Decision, decide};
use buckthorn::tenant::directory::{Directory, Error, MAX_KEY_BYTES, Tenant};

const KEYS: [&str; 3] = ["key-of-north-1", "key-of-north-2", "key-of-south-1"];

fn tenant(name: &str, urgency: u8) -> Tenant {
    Tenant {
        name: name.into(),
        urgency: Some(urgency),
    }
}

fn directory() -> Directory {
    Directory::new([
        (tenant("south", 1), vec![KEYS[2]]),
        (tenant("north", 0), vec![KEYS[0], KEYS[1]]),
    ])
    .unwrap()
}

#[test]
fn each_key_finds_its_tenant_and_any_other_none() {
    let directory = directory();
    for (key, name) in KEYS.iter().zip(["north", "north", "south"]) {
        let found = directory.find(key.as_bytes()).unwrap();
        assert_eq!(&*found.name, name);
        for other in [
            &key[..key.len() - 1],
            &format!("{key}x"),
            &key.to_uppercase(),
        ] {
            assert_eq!(directory.find(other.as_bytes()), None);
        }
    }
    assert_eq!(directory.find(b""), None);
    assert_eq!(directory.find(&[b'k'; MAX_KEY_BYTES + 1]), None);
    assert_eq!(Directory::default().find(KEYS[0].as_bytes()), None);
}

#[test]
fn a_call_is_decided_by_its_key_its_route_and_the_age_of_the_policy() {
    let directory = directory();
    let north = directory.find(KEYS[0].as_bytes()).unwrap();
    let cases: [(&[&str], bool, bool, Decision<'_>); 9] = [
        (&[KEYS[0]], false, true, Decision::Tenant(north)),
        (&[KEYS[0]], true, true, Decision::Tenant(north)),
        (&["other"], false, true, Decision::UnknownKey),
        (&["other"], true, true, Decision::Anonymous),
        (&[], false, true, Decision::UnknownKey),
        (&[], true, false, Decision::Anonymous),
        (&[KEYS[0]], false, false, Decision::Unconfirmed),
        (&["other"], false, false, Decision::Unconfirmed),
        (&[KEYS[0], KEYS[0]], false, true, Decision::UnknownKey),
    ];
    for (keys, is_public, is_current, expected) in cases {
        let offered = keys.iter().map(|key| key.as_bytes());
        let decision = decide(&directory, is_public, is_current, offered);
        assert_eq!(decision, expected, "{keys:?} {is_public} {is_current}");
    }
}

#[test]
fn no_text_or_encoding_of_a_directory_reveals_a_key() {
    let directory = directory();
    let json = serde_json::to_string(&directory).unwrap();
    let decoded: Directory = serde_json::from_str(&json).unwrap();
    assert_eq!(decoded, directory);
    assert!(decoded.is_valid());
    let faults = [
        Directory::new([
            (tenant("a", 0), vec![KEYS[0]]),
            (tenant("b", 0), vec![KEYS[0]]),
        ]),
        Directory::new([(tenant("a", 0), vec![KEYS[0]]), (tenant("a", 0), vec![])]),
        Directory::new([(tenant("a", 0), vec!["", KEYS[0]])]),
    ];
    let errors = faults.map(|fault| fault.unwrap_err());
    assert_eq!(errors[0], Error::SharedKey("a".into(), "b".into()));
    assert_eq!(errors[1], Error::DuplicateTenant("a".into()));
    assert_eq!(errors[2], Error::KeyLength("a".into()));
    let texts = [json, format!("{directory:?}"), format!("{errors:?}")];
    for text in texts.into_iter().chain(errors.iter().map(Error::to_string)) {
        for key in KEYS {
            assert!(!text.contains(key), "{text}");
        }
    }
}
