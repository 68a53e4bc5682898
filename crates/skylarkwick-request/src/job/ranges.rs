//! Sets of numbers most of which follow each other, such as the occurrences of a job that are done
//! or the tasks of a step that have succeeded. A set takes memory for its gaps only.

use std::{collections::BTreeMap, iter, ops::Range};

/// A set of numbers, as ranges that neither overlap nor touch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranges {
    /// The first number of each range, and the number after its last one.
    ends: BTreeMap<u32, u32>,
}

impl Ranges {
    /// Adds a number; the largest one of the type can't be added.
    pub fn insert(&mut self, number: u32) {
        self.insert_range(number..number.saturating_add(1));
    }

    /// Adds all numbers of a range.
    pub fn insert_range(&mut self, range: Range<u32>) {
        if range.is_empty() {
            return;
        }
        let Range { mut start, mut end } = range;
        while let Some((&first, &known_end)) = self.ends.range(..=end).next_back()
            && known_end >= start
        {
            self.ends.remove(&first);
            start = start.min(first);
            end = end.max(known_end);
        }
        self.ends.insert(start, end);
    }

    /// Removes a number; returns whether it was in the set.
    pub fn remove(&mut self, number: u32) -> bool {
        let Some((&start, &end)) = self.ends.range(..=number).next_back() else {
            return false;
        };
        if number >= end {
            return false;
        }
        self.ends.remove(&start);
        self.insert_range(start..number);
        self.insert_range(number + 1..end);
        true
    }

    /// Adds all numbers of another set.
    pub fn extend(&mut self, other: &Ranges) {
        for range in other.iter() {
            self.insert_range(range);
        }
    }

    /// Returns whether a number is in the set.
    pub fn contains(&self, number: u32) -> bool {
        self.first_absent(number) != number
    }

    /// Returns the first number from this one on that is not in the set.
    pub fn first_absent(&self, number: u32) -> u32 {
        match self.ends.range(..=number).next_back() {
            Some((_, &end)) if number < end => end,
            _ => number,
        }
    }

    /// Returns the numbers below `end` that are not in the set, in their order.
    pub fn absent(&self, end: u32) -> impl Iterator<Item = u32> {
        let next = |number: &u32| Some(self.first_absent(number.saturating_add(1)));
        iter::successors(Some(self.first_absent(0)), next).take_while(move |number| *number < end)
    }

    /// Returns how many numbers the set has.
    pub fn len(&self) -> usize {
        self.ends.iter().map(|(first, end)| index(end - first)).sum()
    }

    /// Returns how many numbers below `end` the set has.
    pub fn count_below(&self, end: u32) -> usize {
        let ranges = self.ends.range(..end);
        ranges.map(|(first, known_end)| index(end.min(*known_end) - first)).sum()
    }

    /// Returns whether the set has no number.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the ranges in their order.
    pub fn iter(&self) -> impl Iterator<Item = Range<u32>> {
        self.ends.iter().map(|(&first, &end)| first..end)
    }
}

impl FromIterator<u32> for Ranges {
    fn from_iter<T: IntoIterator<Item = u32>>(numbers: T) -> Ranges {
        let mut ranges = Ranges::default();
        numbers.into_iter().for_each(|number| ranges.insert(number));
        ranges
    }
}

/// Returns a number as an index.
fn index(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
