package hedge

import (
	"sync"
	"time"
)

// queriesPerCopy is the number of times that a host may ask for each copy that the limit
// allows. A coordinator refuses some two of three copies that are asked for early
// enough to be useful, because they would not help or no target is free.
const queriesPerCopy = 4

// Queries bounds how often a host asks for a copy where another host decides: each query
// is a message, and under a low limit nearly all would be refused. It is safe for
// concurrent use.
type Queries struct {
	limit  Limit
	mu     sync.Mutex
	budget Budget
}

// NewQueries returns the bound for a limit on copies.
func NewQueries(l Limit) *Queries { return &Queries{limit: Limit{Ratio: queriesPerCopy * l.Ratio}} }

// Deposit counts a request.
func (q *Queries) Deposit() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.budget.Deposit(q.limit)
}

// Withdraw takes one query; it returns false when none is left.
func (q *Queries) Withdraw(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.budget.Withdraw(now, q.limit, 1)
}
