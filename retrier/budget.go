package retrier

import "container/list"

// budget holds the retry tokens of one team or target. A retry costs one token.
type budget struct {
	name   string
	tokens float64
}

// budgetCache holds the most recently used budgets, by name.
type budgetCache struct {
	ratio      float64
	burst      float64
	maxBudgets int
	byName     map[string]*list.Element
	byLastUse  *list.List
}

func newBudgetCache(ratio, burst float64, maxBudgets int) *budgetCache {
	return &budgetCache{ratio: ratio, burst: burst, maxBudgets: maxBudgets, byName: map[string]*list.Element{}, byLastUse: list.New()}
}

// findOrAdd returns the budget of a name, or adds a full one. If the cache is full, the
// least recently used budget is removed first.
func (c *budgetCache) findOrAdd(name string) *budget {
	if element := c.byName[name]; element != nil {
		c.byLastUse.MoveToBack(element)
		return element.Value.(*budget)
	}
	if c.byLastUse.Len() >= c.maxBudgets {
		oldest := c.byLastUse.Remove(c.byLastUse.Front()).(*budget)
		delete(c.byName, oldest.name)
	}
	b := &budget{name: name, tokens: c.burst}
	c.byName[name] = c.byLastUse.PushBack(b)
	return b
}

// deposit adds the tokens that one request earns, up to the burst.
func (c *budgetCache) deposit(name string) {
	b := c.findOrAdd(name)
	b.tokens = min(c.burst, b.tokens+c.ratio)
}

// hasRetry reports whether a budget has a token left for a retry.
func (c *budgetCache) hasRetry(name string) bool { return c.findOrAdd(name).tokens >= 1 }

// withdraw takes the token of one retry out of a budget.
func (c *budgetCache) withdraw(name string) { c.findOrAdd(name).tokens-- }
