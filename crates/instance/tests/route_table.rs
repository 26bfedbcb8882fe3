//! Selection of the route of a request.

use arbtest::arbtest;
use trefoil_instance::declarations::{Declarations, Route, RouteTable};

const HOSTS: [&str; 2] = ["a.example", "B.example"];
const SEGMENTS: [&str; 4] = ["x", "x/", "é/", "/"];

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        ..Route::default()
    }
}

/// The index must find what a comparison with every route finds: the longest prefix, and the
/// last one of equal routes.
#[test]
fn the_route_with_the_longest_prefix_is_found() {
    arbtest(|choices| {
        let mut path = || -> arbtest::arbitrary::Result<String> {
            let length = choices.int_in_range(0..=4)?;
            (0..length)
                .map(|_| choices.choose(&SEGMENTS).copied())
                .collect()
        };
        let mut routes = Vec::new();
        for _ in 0..6 {
            routes.push(route(HOSTS[0], &path()?));
            routes.push(route(HOSTS[1], &path()?));
        }
        let requested = path()?;
        let table = RouteTable::new(Declarations {
            routes: routes.clone(),
            ..Declarations::default()
        });
        for host in ["a.example", "b.EXAMPLE", "c.example"] {
            let matching = routes.iter().filter(|route| {
                route.host.eq_ignore_ascii_case(host) && requested.starts_with(&route.path_prefix)
            });
            let expected = matching.max_by_key(|route| route.path_prefix.len());
            assert_eq!(table.find_route(host, &requested), expected);
        }
        Ok(())
    });
}
