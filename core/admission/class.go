// Package admission decides which requests wait or are refused while there is less capacity than
// demand: it orders them by priority, and leaves less urgent ones a part that more urgent ones
// can't take.
package admission

import "math/bits"

// Class is the priority of a request within the range that engines know; 0 is the most urgent.
type Class int

// Classes is the number of classes.
const Classes = 10

// ClassOf returns the class of a priority. Priorities outside the range belong to the nearest class.
func ClassOf(priority int) Class { return Class(min(max(priority, 0), Classes-1)) }

// ClassSet is a set of classes, one bit for each.
type ClassSet uint16

// AllClasses is the set of all classes.
const AllClasses ClassSet = 1<<Classes - 1

// With returns the set with a class added.
func (s ClassSet) With(c Class) ClassSet { return s | 1<<c }

// MoreUrgentThan returns how many classes of the set are more urgent than the given one.
func (s ClassSet) MoreUrgentThan(c Class) int { return (s & (1<<c - 1)).size() }

// LessUrgentThan returns how many classes of the set are less urgent than the given one.
func (s ClassSet) LessUrgentThan(c Class) int { return (s >> (c + 1)).size() }

// HasOtherThan reports whether the set has a class other than the given one.
func (s ClassSet) HasOtherThan(c Class) bool { return s&^(1<<c) != 0 }

// size returns the number of classes in the set.
func (s ClassSet) size() int { return bits.OnesCount16(uint16(s)) }
