use super::*;

fn settings(of: &[(Purpose, CapSetting)]) -> ByPurpose<Option<CapSetting>> {
    ByPurpose::new(|p| of.iter().find(|(q, _)| *q == p).map(|(_, setting)| *setting))
}

#[test]
fn the_default_shares_use_the_whole_total_and_no_more() {
    assert_eq!(Purpose::ALL.into_iter().map(Caps::default_permille).sum::<u64>(), 1000);
    for total in [Caps::min_total(), 32_000_000, 192_000_000, 8_000_000_000] {
        let caps = Caps::new(Some(total), &settings(&[])).expect("valid caps");
        let sum: u64 = caps.of.iter().map(|(_, cap)| cap).sum();
        assert!(sum <= total - PROGRAM_BYTES && sum + 100 > total - PROGRAM_BYTES, "{total}: {sum}");
    }
}

#[test]
fn each_cap_error_names_its_purpose_and_the_remedy() {
    use CapSetting::{Share, Size};
    let errors = |total, of: &[(Purpose, CapSetting)]| Caps::new(total, &settings(of)).expect_err("an error");
    let all = errors(
        Some(64_000_000),
        &[
            (Purpose::BodiesHeld, Size(1000)),
            (Purpose::Notices, Share(0.0)),
            (Purpose::Clients, Share(f64::NAN)),
        ],
    );
    let purposes: Vec<_> = all.iter().map(CapError::purpose).collect();
    assert_eq!(purposes, [Some(Purpose::BodiesHeld), Some(Purpose::Clients), Some(Purpose::Notices)]);
    assert!(all[0].to_string().contains("one body of 64 KiB"), "{}", all[0]);
    let sum = errors(Some(64_000_000), &[(Purpose::BodiesHeld, Share(0.5))]);
    let text = sum[0].to_string();
    assert!(sum.len() == 1 && text.contains("raise the total by") && text.contains("bodies_held"), "{text}");
    let of_nothing = errors(None, &[(Purpose::Module, Share(0.5))]);
    assert_eq!(of_nothing, [CapError::ShareWithoutTotal { purpose: Purpose::Module }]);
    assert!(matches!(errors(Some(1_000_000), &[])[..], [CapError::TotalTooSmall { .. }]));
}

#[test]
fn without_a_total_only_purposes_with_a_setting_are_capped() {
    let caps =
        Caps::new(None, &settings(&[(Purpose::Sessions, CapSetting::Size(20_000))])).expect("valid caps");
    assert_eq!(caps.of[Purpose::Sessions], 20_000);
    assert!(caps.of.iter().all(|(p, cap)| p == Purpose::Sessions || *cap == u64::MAX));
}
