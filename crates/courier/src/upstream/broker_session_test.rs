use super::*;

#[test]
fn a_session_is_read_back_from_its_text() {
    for address in ["127.0.0.1:1883", "[::1]:1883"] {
        let session = BrokerSession {
            address: address.parse().expect("an address"),
            client: "depot-1/pumps/east@10.0.0.7".to_owned(),
        };
        assert_eq!(session.to_string().parse(), Ok(session));
    }
}

#[test]
fn a_name_without_an_address_is_no_session() {
    for text in ["pumps/east", "127.0.0.1:1883", ""] {
        assert_eq!(text.parse::<BrokerSession>(), Err(InvalidBrokerSession), "{text:?}");
    }
}
