//! Turns the written settings into checked ones.

use crate::check::Checker;
use crate::wire::{
    Leaf, WireAdvertise, WireLimits, WireListen, WireLog, WireOperator, WireSettings, WireStop,
    WireStore,
};
use crate::{
    AdvertisedAddrs, Field, Limits, ListenAddrs, LogFormat, LogLevel, LogSettings, Operator,
    PermittedValues, Problem, Settings, StopSettings, StoreSettings, fields, parse,
};
use serde_json::Value;
use std::net::SocketAddr;

impl TryFrom<WireSettings> for Settings {
    type Error = Vec<Problem>;

    fn try_from(wire: WireSettings) -> Result<Settings, Vec<Problem>> {
        let mut checker = Checker::default();
        let settings = settings(&mut checker, wire);
        match settings {
            Some(settings) if checker.problems.is_empty() => Ok(settings),
            _ => Err(checker.problems),
        }
    }
}

fn settings(checker: &mut Checker, wire: WireSettings) -> Option<Settings> {
    checker.unknown("", &wire.unknown);
    let instance = checker.value(&fields::INSTANCE, wire.instance, parse::name);
    let domain = checker.value(&fields::DOMAIN, wire.domain, parse::name);
    let region = checker.value(&fields::REGION, wire.region, parse::name);
    let listen = listen(checker, wire.listen);
    let advertise = advertise(checker, wire.advertise, listen.as_ref());
    let store = store(checker, wire.store);
    let keys = checker.list(&fields::CLUSTER_KEYS, wire.cluster_keys, |key, _| parse::key(key));
    let operators = operators(checker, wire.operators);
    let seeds = checker.list(&fields::SEEDS, wire.seeds, parse::address);
    let log = log(checker, wire.log);
    let limits = limits(checker, wire.limits);
    let stop = stop(checker, wire.stop);
    Some(Settings {
        instance: instance?,
        domain: domain?,
        region: region?,
        listen: listen?,
        advertise: advertise?,
        store: store?,
        cluster_keys: keys?,
        operators: operators?,
        seeds: seeds?,
        log: log?,
        limits: limits?,
        stop: stop?,
    })
}

fn listen(checker: &mut Checker, wire: WireListen) -> Option<ListenAddrs> {
    checker.unknown("listen.", &wire.unknown);
    let mut taken = Vec::new();
    let callers = listening(checker, &mut taken, &fields::LISTEN_CALLERS, wire.callers);
    let hop = listening(checker, &mut taken, &fields::LISTEN_HOP, wire.hop);
    let rpc = listening(checker, &mut taken, &fields::LISTEN_RPC, wire.rpc);
    let local = listening(checker, &mut taken, &fields::LISTEN_LOCAL, wire.local);
    let operators = listening(checker, &mut taken, &fields::LISTEN_OPERATORS, wire.operators);
    Some(ListenAddrs {
        callers: callers?,
        hop: hop?,
        rpc: rpc?,
        local: local?,
        operators: operators?,
    })
}

/// Checks a listening address, which must differ from all `taken` ones unless its port is 0.
fn listening(
    checker: &mut Checker,
    taken: &mut Vec<SocketAddr>,
    field: &Field,
    leaf: Leaf,
) -> Option<SocketAddr> {
    checker.value(field, leaf, |value| {
        let addr = parse::address(value, &field.permitted)?;
        if addr.port() != 0 && taken.contains(&addr) {
            return Err("is a duplicate");
        }
        taken.push(addr);
        Ok(addr)
    })
}

fn advertise(
    checker: &mut Checker,
    wire: WireAdvertise,
    listen: Option<&ListenAddrs>,
) -> Option<AdvertisedAddrs> {
    checker.unknown("advertise.", &wire.unknown);
    let hop = listen.map(|listen| listen.hop);
    let rpc = listen.map(|listen| listen.rpc);
    let hop = advertised(checker, &fields::ADVERTISE_HOP, wire.hop, hop);
    let rpc = advertised(checker, &fields::ADVERTISE_RPC, wire.rpc, rpc);
    Some(AdvertisedAddrs { hop: hop?, rpc: rpc? })
}

/// Checks an advertised address. Without one the listening address is taken, which others
/// must be able to reach.
fn advertised(
    checker: &mut Checker,
    field: &Field,
    leaf: Leaf,
    listening: Option<SocketAddr>,
) -> Option<SocketAddr> {
    if leaf.0.is_some() {
        return checker.address(field, leaf);
    }
    let addr = listening?;
    if addr.ip().is_unspecified() {
        checker.problems.push(Problem::missing(field.path.to_owned(), &field.permitted));
    }
    Some(addr)
}

fn store(checker: &mut Checker, wire: WireStore) -> Option<StoreSettings> {
    checker.unknown("store.", &wire.unknown);
    let addresses = checker.list(&fields::STORE_ADDRESSES, wire.addresses, parse::address);
    let timeout = checker.millis(&fields::STORE_TIMEOUT, wire.timeout_ms);
    Some(StoreSettings { addresses: addresses?, timeout: timeout? })
}

fn operators(checker: &mut Checker, wire: Vec<WireOperator>) -> Option<Vec<Operator>> {
    let PermittedValues::List { max, .. } = fields::OPERATORS.permitted else {
        unreachable!("operators are declared as a list");
    };
    if wire.len() > max {
        let value = Value::Array(vec![Value::Null; wire.len()]);
        let path = fields::OPERATORS.path.to_owned();
        checker.refuse(path, &value, "has the wrong length", &fields::OPERATORS.permitted);
        return None;
    }
    let mut operators: Vec<Operator> = Vec::with_capacity(wire.len());
    for (index, entry) in wire.into_iter().enumerate() {
        if let Some(operator) = operator(checker, index, entry, &operators) {
            operators.push(operator);
        }
    }
    Some(operators)
}

/// Checks an operator, whose name and token must differ from those of all `others`.
fn operator(
    checker: &mut Checker,
    index: usize,
    wire: WireOperator,
    others: &[Operator],
) -> Option<Operator> {
    let path = |name: &str| format!("operators[{index}].{name}");
    checker.unknown(&path(""), &wire.unknown);
    let name = checker.value_at(path("name"), &fields::OPERATOR_NAME, wire.name, |value| {
        let name = parse::name(value)?;
        let duplicate = others.iter().any(|other| other.name == name);
        if duplicate { Err("is a duplicate") } else { Ok(name) }
    });
    let token = checker.value_at(path("token"), &fields::OPERATOR_TOKEN, wire.token, |value| {
        let token = parse::token(value)?;
        let duplicate = others.iter().any(|other| other.token == token);
        if duplicate { Err("is a duplicate") } else { Ok(token) }
    });
    Some(Operator { name: name?, token: token? })
}

fn log(checker: &mut Checker, wire: WireLog) -> Option<LogSettings> {
    checker.unknown("log.", &wire.unknown);
    let level = checker.value(&fields::LOG_LEVEL, wire.level, |value| {
        LogLevel::parse(parse::text(value)?).ok_or("is not a level")
    });
    let format = checker.value(&fields::LOG_FORMAT, wire.format, |value| {
        LogFormat::parse(parse::text(value)?).ok_or("is not a format")
    });
    Some(LogSettings { level: level?, format: format? })
}

fn limits(checker: &mut Checker, wire: WireLimits) -> Option<Limits> {
    checker.unknown("limits.", &wire.unknown);
    let max_head_bytes = checker.size(&fields::HEAD_BYTES, wire.head_bytes);
    let max_headers = checker.size(&fields::HEADERS, wire.headers);
    let max_body_bytes = checker.number(&fields::BODY_BYTES, wire.body_bytes);
    let head_timeout = checker.millis(&fields::HEAD_TIMEOUT, wire.head_timeout_ms);
    let idle_timeout = checker.millis(&fields::IDLE_TIMEOUT, wire.idle_timeout_ms);
    let max_replay_bytes = checker.size(&fields::REPLAY_BYTES, wire.replay_bytes);
    let max_caller_connections = checker.size(&fields::CALLER_CONNECTIONS, wire.caller_connections);
    let max_queue_len = checker.size(&fields::QUEUE, wire.queue);
    let max_in_flight = checker.size(&fields::IN_FLIGHT, wire.in_flight);
    Some(Limits {
        max_head_bytes: max_head_bytes?,
        max_headers: max_headers?,
        max_body_bytes: max_body_bytes?,
        head_timeout: head_timeout?,
        idle_timeout: idle_timeout?,
        max_replay_bytes: max_replay_bytes?,
        max_caller_connections: max_caller_connections?,
        max_queue_len: max_queue_len?,
        max_in_flight: max_in_flight?,
    })
}

fn stop(checker: &mut Checker, wire: WireStop) -> Option<StopSettings> {
    checker.unknown("stop.", &wire.unknown);
    let grace_period = checker.millis(&fields::STOP_GRACE, wire.grace_ms);
    Some(StopSettings { grace_period: grace_period? })
}
