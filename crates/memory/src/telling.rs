//! Whose share something counts against: which client is behind a connection, a request or an MQTT session.

use crate::ledger::Client;
use ipnet::IpNet;
use std::net::IpAddr;

/// A name in a header is no longer than this, bytes: it is kept for as long as the client holds something.
const NAME_MOST: usize = 128;

/// How clients are told apart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Telling {
    /// Networks of proxies, each of which carries many clients.
    pub proxies: Vec<IpNet>,
    /// The header, in lower case, in which a proxy names the client of a request.
    pub header: Option<String>,
    /// MQTT clients count by their user alone, not each with its client id.
    pub by_user: bool,
}

impl Telling {
    /// Whether an address is a proxy's, whose word is taken for whom it carries.
    pub fn trusts(&self, from: IpAddr) -> bool {
        let from = from.to_canonical();
        self.proxies.iter().any(|net| net.contains(&from))
    }

    /// Who a connection counts for; None for a proxy's, which is nobody's share but keeps to the cap.
    pub fn connection(&self, from: IpAddr) -> Option<Client> {
        (!self.trusts(from)).then(|| Client::at(from))
    }

    /// Who a request counts for, by the values of [`Telling::header`] in it. A proxy that names nobody, or several,
    /// or in words that are no name, counts for itself; whoever is no proxy cannot name another.
    pub fn request<'a>(&self, from: IpAddr, mut named: impl Iterator<Item = &'a [u8]>) -> Client {
        let one = named.next().filter(|_| self.header.is_some() && self.trusts(from));
        let name = one.filter(|_| named.next().is_none()).and_then(|name| std::str::from_utf8(name).ok());
        let fit = |name: &&str| {
            (1..=NAME_MOST).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic())
        };
        match name.map(str::trim).filter(fit) {
            Some(name) => Client::Name(format!("client {name}").into()),
            None => Client::at(from),
        }
    }

    /// Who an MQTT session counts for: `owner` is its USER/CLIENT. Users count by their names up to a slash.
    pub fn session(&self, owner: &str) -> Client {
        match owner.split_once('/').filter(|_| self.by_user) {
            Some((user, _)) => Client::Name(format!("user {user}").into()),
            None => Client::Name(owner.into()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn telling() -> Telling {
        let proxies = ["10.2.0.0/16", "fd00::/8"].map(|net| net.parse().expect("a network")).into();
        Telling { proxies, header: Some("x-client".to_owned()), by_user: true }
    }

    #[test]
    fn only_a_proxy_names_another_and_only_in_one_fit_name() {
        let (telling, proxy) = (telling(), "10.2.7.1".parse().expect("an address"));
        let long = [b'x'; 65_536];
        let of = |from: IpAddr, named: &[&[u8]]| telling.request(from, named.iter().copied());
        assert_eq!(of(proxy, &[b"van-7"]), Client::Name("client van-7".into()));
        let unfit: [&[&[u8]]; 6] = [&[], &[b""], &[b"a", b"a"], &[&long], &[b"\xff"], &[b"a b"]];
        for named in unfit {
            assert_eq!(of(proxy, named), Client::at(proxy), "{} values", named.len());
        }
        let other = "10.3.0.1".parse().expect("an address");
        assert_eq!(of(other, &[b"van-7"]), Client::at(other), "not listed");
        assert_eq!(of("::ffff:10.2.0.9".parse().expect("mapped"), &[b"a"]), Client::Name("client a".into()));
    }

    #[test]
    fn a_proxy_has_no_share_of_its_own_and_sessions_count_by_their_user() {
        let (telling, plain) = (telling(), Telling::default());
        let [proxy, other]: [IpAddr; 2] = ["fd00::1", "2001:db8::1"].map(|a| a.parse().expect("an address"));
        assert_eq!((telling.connection(proxy), telling.connection(other)), (None, Some(Client::at(other))));
        assert_eq!(plain.connection(proxy), Some(Client::at(proxy)));
        assert_eq!(telling.session("depot/van-1"), telling.session("depot/van-2"));
        assert_ne!(plain.session("depot/van-1"), plain.session("depot/van-2"));
    }
}
