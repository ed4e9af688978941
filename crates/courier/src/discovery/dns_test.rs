use super::*;
use simple_dns::ResourceRecord;
use simple_dns::rdata::A;

#[test]
fn every_address_of_a_large_response_is_used() {
    let name = Name::new("many.example").expect("a name");
    let mut packet = Packet::new_reply(7);
    packet.questions.push(Question::new(name.clone(), QTYPE::TYPE(TYPE::A), QCLASS::CLASS(CLASS::IN), false));
    for n in 0..2048 {
        let address = RData::A(A { address: 0x7f00_0000 + n });
        packet.answers.push(ResourceRecord::new(name.clone(), CLASS::IN, 60, address));
    }
    let bytes = packet.build_bytes_vec_compressed().expect("an answer");
    // A buffer shorter than the response would silently drop endpoints.
    assert!(bytes.len() <= MAX_RESPONSE_BYTES);
    let Response::Answer(Ok((addresses, _))) = parse_response(7, "many.example", &bytes) else {
        panic!("no addresses")
    };
    assert_eq!(addresses.len(), 2048);
}
