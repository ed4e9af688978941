use super::*;

fn asked(of: &[(Purpose, CapSetting)]) -> ByPurpose<Option<CapSetting>> {
    ByPurpose::new(|p| of.iter().find(|(q, _)| *q == p).map(|(_, portion)| *portion))
}

#[test]
fn the_usual_shares_come_to_the_whole_and_no_more() {
    assert_eq!(Purpose::ALL.into_iter().map(Caps::default_permille).sum::<u64>(), 1000);
    for total in [Caps::min_total(), 32_000_000, 192_000_000, 8_000_000_000] {
        let caps = Caps::new(Some(total), &asked(&[])).expect("sound");
        let sum: u64 = caps.of.iter().map(|(_, cap)| cap).sum();
        assert!(sum <= total - PROGRAM_BYTES && sum + 100 > total - PROGRAM_BYTES, "{total}: {sum}");
    }
}

#[test]
fn each_fault_of_the_caps_is_told_with_its_purpose_and_what_to_do() {
    use CapSetting::{Share, Size};
    let faults = |total, of: &[(Purpose, CapSetting)]| Caps::new(total, &asked(of)).expect_err("a fault");
    let all = faults(
        Some(64_000_000),
        &[
            (Purpose::BodiesHeld, Size(1000)),
            (Purpose::Notices, Share(0.0)),
            (Purpose::Clients, Share(f64::NAN)),
        ],
    );
    let whose: Vec<_> = all.iter().map(CapError::purpose).collect();
    assert_eq!(whose, [Some(Purpose::BodiesHeld), Some(Purpose::Clients), Some(Purpose::Notices)]);
    assert!(all[0].to_string().contains("one body of 64 KiB"), "{}", all[0]);
    let sum = faults(Some(64_000_000), &[(Purpose::BodiesHeld, Share(0.5))]);
    let text = sum[0].to_string();
    assert!(sum.len() == 1 && text.contains("raise the total by") && text.contains("bodies_held"), "{text}");
    let of_nothing = faults(None, &[(Purpose::Module, Share(0.5))]);
    assert_eq!(of_nothing, [CapError::ShareWithoutTotal { purpose: Purpose::Module }]);
    assert!(matches!(faults(Some(1_000_000), &[])[..], [CapError::TotalTooSmall { .. }]));
}

#[test]
fn without_a_total_only_what_is_stated_is_capped() {
    let caps = Caps::new(None, &asked(&[(Purpose::Sessions, CapSetting::Size(20_000))])).expect("sound");
    assert_eq!(caps.of[Purpose::Sessions], 20_000);
    assert!(caps.of.iter().all(|(p, cap)| p == Purpose::Sessions || *cap == u64::MAX));
}
