package retrier

import "container/list"

// budget is the retries that a team or target has saved up.
type budget struct {
	name   string
	tokens float64
}

// ledger holds budgets by name, of which it remembers those used last.
type ledger struct {
	ratio   float64
	burst   float64
	max     int
	byName  map[string]*list.Element
	ordered *list.List
}

func newLedger(ratio, burst float64, maxBudgets int) *ledger {
	return &ledger{ratio: ratio, burst: burst, max: maxBudgets, byName: map[string]*list.Element{}, ordered: list.New()}
}

// budget returns the budget of a name, a full one when it is new.
func (l *ledger) budget(name string) *budget {
	if element := l.byName[name]; element != nil {
		l.ordered.MoveToBack(element)
		return element.Value.(*budget)
	}
	if l.ordered.Len() >= l.max {
		oldest := l.ordered.Remove(l.ordered.Front()).(*budget)
		delete(l.byName, oldest.name)
	}
	b := &budget{name: name, tokens: l.burst}
	l.byName[name] = l.ordered.PushBack(b)
	return b
}

// deposit adds what one request earns.
func (l *ledger) deposit(name string) {
	b := l.budget(name)
	b.tokens = min(l.burst, b.tokens+l.ratio)
}

// affords reports whether a budget has a retry left.
func (l *ledger) affords(name string) bool { return l.budget(name).tokens >= 1 }

// withdraw takes one retry out of a budget.
func (l *ledger) withdraw(name string) { l.budget(name).tokens-- }
