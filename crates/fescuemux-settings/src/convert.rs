//! Converts the raw settings of a file into checked [`Settings`].

use crate::check::Checker;
use crate::wire::{
    RawAdvertise, RawField, RawLimits, RawListen, RawLog, RawOperator, RawSettings, RawStop,
    RawStore,
};
use crate::{
    AdvertisedAddrs, Field, Limits, ListenAddrs, LogFormat, LogLevel, LogSettings, Operator,
    PermittedValues, Problem, Settings, StopSettings, StoreSettings, fields, parse,
};
use serde_json::Value;
use std::net::SocketAddr;

impl TryFrom<RawSettings> for Settings {
    type Error = Vec<Problem>;

    fn try_from(raw: RawSettings) -> Result<Settings, Vec<Problem>> {
        let mut checker = Checker::default();
        let settings = convert_settings(&mut checker, raw);
        match settings {
            Some(settings) if checker.problems.is_empty() => Ok(settings),
            _ => Err(checker.problems),
        }
    }
}

fn convert_settings(checker: &mut Checker, raw: RawSettings) -> Option<Settings> {
    checker.reject_unknown("", &raw.unknown);
    let instance = checker.parse_field(&fields::INSTANCE, raw.instance, parse::name);
    let domain = checker.parse_field(&fields::DOMAIN, raw.domain, parse::name);
    let region = checker.parse_field(&fields::REGION, raw.region, parse::name);
    let listen = convert_listen(checker, raw.listen);
    let advertise = convert_advertise(checker, raw.advertise, listen.as_ref());
    let store = convert_store(checker, raw.store);
    let cluster_keys = checker
        .parse_list(&fields::CLUSTER_KEYS, raw.cluster_keys, |key, _| parse::cluster_key(key));
    let operators = convert_operators(checker, raw.operators);
    let seeds = checker.parse_list(&fields::SEEDS, raw.seeds, parse::address);
    let log = convert_log(checker, raw.log);
    let limits = convert_limits(checker, raw.limits);
    let stop = convert_stop(checker, raw.stop);
    Some(Settings {
        instance: instance?,
        domain: domain?,
        region: region?,
        listen: listen?,
        advertise: advertise?,
        store: store?,
        cluster_keys: cluster_keys?,
        operators: operators?,
        seeds: seeds?,
        log: log?,
        limits: limits?,
        stop: stop?,
    })
}

fn convert_listen(checker: &mut Checker, raw: RawListen) -> Option<ListenAddrs> {
    checker.reject_unknown("listen.", &raw.unknown);
    let mut used = Vec::new();
    let callers = convert_listen_addr(checker, &mut used, &fields::LISTEN_CALLERS, raw.callers);
    let hop = convert_listen_addr(checker, &mut used, &fields::LISTEN_HOP, raw.hop);
    let rpc = convert_listen_addr(checker, &mut used, &fields::LISTEN_RPC, raw.rpc);
    let local = convert_listen_addr(checker, &mut used, &fields::LISTEN_LOCAL, raw.local);
    let operators =
        convert_listen_addr(checker, &mut used, &fields::LISTEN_OPERATORS, raw.operators);
    Some(ListenAddrs {
        callers: callers?,
        hop: hop?,
        rpc: rpc?,
        local: local?,
        operators: operators?,
    })
}

/// Checks a listen address and adds it to `used`. Unless its port is 0, it must differ from all
/// addresses in `used`.
fn convert_listen_addr(
    checker: &mut Checker,
    used: &mut Vec<SocketAddr>,
    field: &Field,
    raw: RawField,
) -> Option<SocketAddr> {
    checker.parse_field(field, raw, |value| {
        let addr = parse::address(value, &field.permitted)?;
        if addr.port() != 0 && used.contains(&addr) {
            return Err("is a duplicate");
        }
        used.push(addr);
        Ok(addr)
    })
}

fn convert_advertise(
    checker: &mut Checker,
    raw: RawAdvertise,
    listen: Option<&ListenAddrs>,
) -> Option<AdvertisedAddrs> {
    checker.reject_unknown("advertise.", &raw.unknown);
    let listen_hop = listen.map(|listen| listen.hop);
    let listen_rpc = listen.map(|listen| listen.rpc);
    let hop = convert_advertised_addr(checker, &fields::ADVERTISE_HOP, raw.hop, listen_hop);
    let rpc = convert_advertised_addr(checker, &fields::ADVERTISE_RPC, raw.rpc, listen_rpc);
    Some(AdvertisedAddrs { hop: hop?, rpc: rpc? })
}

/// Checks an advertised address. If the field is absent, the listen address is advertised and must
/// have a specified IP address, because other daemons connect to it.
fn convert_advertised_addr(
    checker: &mut Checker,
    field: &Field,
    raw: RawField,
    listen_addr: Option<SocketAddr>,
) -> Option<SocketAddr> {
    if raw.0.is_some() {
        return checker.parse_address(field, raw);
    }
    let addr = listen_addr?;
    if addr.ip().is_unspecified() {
        checker.problems.push(Problem::missing(field.path.to_owned(), &field.permitted));
    }
    Some(addr)
}

fn convert_store(checker: &mut Checker, raw: RawStore) -> Option<StoreSettings> {
    checker.reject_unknown("store.", &raw.unknown);
    let addresses = checker.parse_list(&fields::STORE_ADDRESSES, raw.addresses, parse::address);
    let timeout = checker.parse_duration(&fields::STORE_TIMEOUT, raw.timeout_ms);
    Some(StoreSettings { addresses: addresses?, timeout: timeout? })
}

fn convert_operators(checker: &mut Checker, raw: Vec<RawOperator>) -> Option<Vec<Operator>> {
    let PermittedValues::List { max, .. } = fields::OPERATORS.permitted else {
        unreachable!("operators are declared as a list");
    };
    if raw.len() > max {
        let value = Value::Array(vec![Value::Null; raw.len()]);
        let path = fields::OPERATORS.path.to_owned();
        checker.reject(path, &value, "has the wrong length", &fields::OPERATORS.permitted);
        return None;
    }
    let mut operators: Vec<Operator> = Vec::with_capacity(raw.len());
    for (index, entry) in raw.into_iter().enumerate() {
        if let Some(operator) = convert_operator(checker, index, entry, &operators) {
            operators.push(operator);
        }
    }
    Some(operators)
}

/// Checks an operator, whose name and token must differ from those of all operators in `previous`.
fn convert_operator(
    checker: &mut Checker,
    index: usize,
    raw: RawOperator,
    previous: &[Operator],
) -> Option<Operator> {
    let field_path = |name: &str| format!("operators[{index}].{name}");
    checker.reject_unknown(&field_path(""), &raw.unknown);
    let name =
        checker.parse_field_at(field_path("name"), &fields::OPERATOR_NAME, raw.name, |value| {
            let name = parse::name(value)?;
            let is_duplicate = previous.iter().any(|earlier| earlier.name == name);
            if is_duplicate { Err("is a duplicate") } else { Ok(name) }
        });
    let token =
        checker.parse_field_at(field_path("token"), &fields::OPERATOR_TOKEN, raw.token, |value| {
            let token = parse::token(value)?;
            let is_duplicate = previous.iter().any(|earlier| earlier.token == token);
            if is_duplicate { Err("is a duplicate") } else { Ok(token) }
        });
    Some(Operator { name: name?, token: token? })
}

fn convert_log(checker: &mut Checker, raw: RawLog) -> Option<LogSettings> {
    checker.reject_unknown("log.", &raw.unknown);
    let level = checker.parse_field(&fields::LOG_LEVEL, raw.level, |value| {
        LogLevel::parse(parse::text(value)?).ok_or("is not a level")
    });
    let format = checker.parse_field(&fields::LOG_FORMAT, raw.format, |value| {
        LogFormat::parse(parse::text(value)?).ok_or("is not a format")
    });
    Some(LogSettings { level: level?, format: format? })
}

fn convert_limits(checker: &mut Checker, raw: RawLimits) -> Option<Limits> {
    checker.reject_unknown("limits.", &raw.unknown);
    let max_head_bytes = checker.parse_size(&fields::HEAD_BYTES, raw.head_bytes);
    let max_headers = checker.parse_size(&fields::HEADERS, raw.headers);
    let max_body_bytes = checker.parse_number(&fields::BODY_BYTES, raw.body_bytes);
    let head_timeout = checker.parse_duration(&fields::HEAD_TIMEOUT, raw.head_timeout_ms);
    let idle_timeout = checker.parse_duration(&fields::IDLE_TIMEOUT, raw.idle_timeout_ms);
    let max_replay_bytes = checker.parse_size(&fields::REPLAY_BYTES, raw.replay_bytes);
    let max_caller_connections =
        checker.parse_size(&fields::CALLER_CONNECTIONS, raw.caller_connections);
    let max_queue_len = checker.parse_size(&fields::QUEUE, raw.queue);
    let max_in_flight = checker.parse_size(&fields::IN_FLIGHT, raw.in_flight);
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

fn convert_stop(checker: &mut Checker, raw: RawStop) -> Option<StopSettings> {
    checker.reject_unknown("stop.", &raw.unknown);
    let grace_period = checker.parse_duration(&fields::STOP_GRACE, raw.grace_ms);
    Some(StopSettings { grace_period: grace_period? })
}
