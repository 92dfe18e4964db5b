//! Choice of the customers that have a metric label of their own.

use crate::base::{CallerId, HashSet};

/// Maximum number of customers with a label of their own, so that the metrics of a process stay small
/// with thousands of customers.
const MAX_LABELS: usize = 24;

/// Number of customers whose requests are counted. The count of a customer with more than one request
/// in as many is never lost.
const MAX_COUNTERS: usize = 64;

/// A customer gets a label of its own once it has sent one in this many requests. It must be below
/// [`MAX_COUNTERS`].
const LABEL_SHARE: u64 = 50;

/// Minimum number of requests of a customer with a label, so that the first requests after a start do
/// not use up the labels.
const MIN_REQUESTS: u64 = 20;

/// Label of all customers without a label of their own.
const OTHER: &str = "other";

/// Requests of one customer.
#[derive(Clone, Debug)]
struct Counter {
    id: CallerId,
    count: u64,
    /// Part of `count` that may have been requests of other customers.
    error: u64,
}

/// Customers that sent most of the requests of one process (the algorithm is Space-Saving). A label,
/// once given, is kept, so that the counters behind it never decrease.
#[derive(Clone, Debug, Default)]
pub struct FrequentCallers {
    counters: Vec<Counter>,
    labeled: HashSet<CallerId>,
    total: u64,
}

impl FrequentCallers {
    /// Counts a request of a customer, and returns the label under which to count it.
    pub fn label<'a>(&mut self, id: &'a CallerId) -> &'a str {
        self.total += 1;
        if self.labeled.contains(id) {
            return id;
        }
        if self.labeled.len() >= MAX_LABELS {
            return OTHER;
        }
        let counter = self.count(id);
        let certain = counter.count - counter.error;
        if certain < MIN_REQUESTS || certain * LABEL_SHARE < self.total {
            return OTHER;
        }
        self.counters.retain(|counter| counter.id != *id);
        self.labeled.insert(id.clone());
        id
    }

    /// Counts a request. Without a free counter, it takes over that of the customer with the fewest
    /// requests.
    fn count(&mut self, id: &CallerId) -> Counter {
        let known = self.counters.iter().position(|counter| counter.id == *id);
        let at = known.unwrap_or_else(|| {
            if self.counters.len() < MAX_COUNTERS {
                self.counters.push(Counter { id: id.clone(), count: 0, error: 0 });
                return self.counters.len() - 1;
            }
            let counters = self.counters.iter().enumerate();
            let (least, counter) =
                counters.min_by_key(|(_, counter)| counter.count).expect("counters are in use");
            let count = counter.count;
            self.counters[least] = Counter { id: id.clone(), count, error: count };
            least
        });
        self.counters[at].count += 1;
        self.counters[at].clone()
    }
}
