//! The numbering plan: the longest matching prefix of the called number determines the class and the pool of
//! first choice.

use std::fmt;

/// The route of a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// Index of the call's class.
    pub class: usize,
    /// Place (pool) of first choice.
    pub place: i64,
}

/// The reason why a prefix can't be added.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// It contains a character other than digits, `*` and `#`.
    InvalidDigit(char),
    /// It is already in the plan.
    Duplicate,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::InvalidDigit(c) => write!(f, "{c:?} is no digit, expected 0 to 9, * or #"),
            PlanError::Duplicate => write!(f, "the prefix is in the plan twice"),
        }
    }
}

impl std::error::Error for PlanError {}

const ALPHABET_SIZE: usize = 12;
const NO_CHILD: u32 = u32::MAX;

fn symbol_index(byte: u8) -> Option<usize> {
    match byte {
        b'0'..=b'9' => Some(usize::from(byte - b'0')),
        b'*' => Some(10),
        b'#' => Some(11),
        _ => None,
    }
}

#[derive(Clone, Debug)]
struct TrieNode {
    children: [u32; ALPHABET_SIZE],
    route: Option<Route>,
}

impl TrieNode {
    const EMPTY: TrieNode = TrieNode { children: [NO_CHILD; ALPHABET_SIZE], route: None };
}

/// A numbering plan, stored as a trie of digits.
#[derive(Clone, Debug)]
pub struct NumberingPlan {
    nodes: Vec<TrieNode>,
    len: usize,
}

impl Default for NumberingPlan {
    fn default() -> Self {
        NumberingPlan { nodes: vec![TrieNode::EMPTY], len: 0 }
    }
}

impl NumberingPlan {
    /// Creates a plan without prefixes.
    pub fn new() -> Self {
        NumberingPlan::default()
    }

    /// Adds a prefix. The empty prefix is the route of all numbers that match no other prefix.
    ///
    /// # Errors
    ///
    /// If the prefix contains a character other than digits, `*` and `#`, or is already in the plan.
    pub fn add(&mut self, prefix: &str, route: Route) -> Result<(), PlanError> {
        if let Some(invalid) = prefix.chars().find(|c| !c.is_ascii() || symbol_index(*c as u8).is_none()) {
            return Err(PlanError::InvalidDigit(invalid));
        }
        let mut index = 0;
        for digit in prefix.bytes().filter_map(symbol_index) {
            let child = self.nodes[index].children[digit];
            index = if child == NO_CHILD {
                self.nodes.push(TrieNode::EMPTY);
                let new = self.nodes.len() - 1;
                self.nodes[index].children[digit] = new as u32;
                new
            } else {
                child as usize
            };
        }
        if self.nodes[index].route.is_some() {
            return Err(PlanError::Duplicate);
        }
        self.nodes[index].route = Some(route);
        self.len += 1;
        Ok(())
    }

    /// Returns the route of the longest matching prefix. A leading `+` is ignored, and so is everything from
    /// the first character that is not a digit.
    pub fn find(&self, number: &str) -> Option<Route> {
        let number = number.strip_prefix('+').unwrap_or(number);
        let mut node = &self.nodes[0];
        let mut best = node.route;
        for digit in number.bytes().map_while(symbol_index) {
            let Some(next) = self.nodes.get(node.children[digit] as usize) else { break };
            node = next;
            best = node.route.or(best);
        }
        best
    }

    /// The number of prefixes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the plan has no prefixes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn route(place: i64) -> Route {
        Route { class: 0, place }
    }

    #[test]
    fn find_returns_the_longest_matching_prefix() {
        let mut plan = NumberingPlan::new();
        plan.add("351", route(1)).expect("digits");
        plan.add("35121", route(2)).expect("digits");
        assert_eq!(plan.find("351220000"), Some(route(1)));
        assert_eq!(plan.find("+35121999"), Some(route(2)));
        assert_eq!(plan.find("44"), None);
        assert_eq!(plan.find("35"), None);
        plan.add("", route(9)).expect("the empty prefix");
        assert_eq!(plan.find("44"), Some(route(9)));
        assert_eq!(plan.find(""), Some(route(9)));
        assert_eq!(plan.find("3512é1"), Some(route(1)));
    }

    #[test]
    fn add_refuses_invalid_and_duplicate_prefixes() {
        let mut plan = NumberingPlan::new();
        assert_eq!(plan.add("12a", route(1)), Err(PlanError::InvalidDigit('a')));
        assert_eq!(plan.add("12", route(1)), Ok(()));
        assert_eq!(plan.add("12", route(2)), Err(PlanError::Duplicate));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

        #[test]
        fn find_agrees_with_a_linear_search(
            prefixes in proptest::collection::btree_set("[0-3]{0,5}", 0..30),
            number in "[0-3]{0,8}",
        ) {
            let mut plan = NumberingPlan::new();
            for (place, prefix) in prefixes.iter().enumerate() {
                plan.add(prefix, route(place as i64)).expect("a new prefix");
            }
            let fits = prefixes.iter().enumerate().filter(|(_, prefix)| number.starts_with(prefix.as_str()));
            let longest = fits.max_by_key(|(_, prefix)| prefix.len()).map(|(place, _)| route(place as i64));
            prop_assert_eq!(plan.find(&number), longest);
        }
    }
}
