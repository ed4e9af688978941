use super::*;

#[test]
fn envelope_names_a_destination() {
    assert_eq!(envelope_destination("dest=7"), Some(7));
    assert_eq!(envelope_destination("a=1, dest=12"), Some(12));
    for bad in ["", "dest", "dest=", "dest=x", "dest=-1", "test=7", "dest=99999999999999999999999"] {
        assert_eq!(envelope_destination(bad), None, "{bad}");
    }
}
