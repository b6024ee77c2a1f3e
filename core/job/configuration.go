package job

import (
	"strings"
	"time"
)

// ConfigVersion orders the configurations; a lower one never replaces a higher one.
type ConfigVersion int64

// Queue is where callers hand jobs in.
type Queue struct {
	Name        QueueName
	Host        string
	Prefix      string
	Pool        PoolName
	Priority    int
	MaxAttempts int
	Stretch     float64
	// LatencyAllowance is added to the stretched run time to give a job's objective.
	LatencyAllowance time.Duration
	// Timeout bounds a call of the queue.
	Timeout time.Duration
	// Public queues need no key.
	Public bool
	// Approval is set when another service says which VMs may run a step.
	Approval *Approval
}

// Approval bounds the answers of the service that approves VMs for a step.
type Approval struct {
	DecideTime  time.Duration
	TimePerVM   time.Duration
	ValidPeriod time.Duration
}

// Pool is a group of VMs.
type Pool struct {
	Name PoolName
	// Standby pools hold machines that are off.
	Standby bool
	// EnforcesCapacity VMs refuse what doesn't fit.
	EnforcesCapacity bool
}

// Account is a client account.
type Account struct {
	Name AccountName
	Keys []string
	// Weight is the account's share when all is full, in jobs a second; 0 means that
	// none is set.
	Weight float64
	// Quota bounds what the account has running; a zero field means no bound.
	Quota Resources
}

// Limits bound the calls that callers make.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of all that operators set.
type Configuration struct {
	Version  ConfigVersion
	Queues   []Queue
	Pools    []Pool
	Accounts []Account
	Limits   Limits

	queuesByHost      map[string][]*Queue
	queuesByName      map[QueueName]*Queue
	accountNamesByKey map[string]AccountName
	poolsByName       map[PoolName]*Pool
	accountsByName    map[AccountName]*Account
}

// Index prepares the look-ups. It must be called once before them.
func (c *Configuration) Index() {
	c.queuesByHost = map[string][]*Queue{}
	c.queuesByName = map[QueueName]*Queue{}
	c.accountNamesByKey = map[string]AccountName{}
	c.poolsByName = map[PoolName]*Pool{}
	c.accountsByName = map[AccountName]*Account{}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.queuesByHost[q.Host] = append(c.queuesByHost[q.Host], q)
		c.queuesByName[q.Name] = q
	}
	for i := range c.Pools {
		c.poolsByName[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		c.accountsByName[a.Name] = a
		for _, k := range a.Keys {
			c.accountNamesByKey[k] = a.Name
		}
	}
}

// Route returns the queue whose prefix is the longest that path begins with, or
// nil; rest is what follows the prefix.
func (c *Configuration) Route(host, path string) (q *Queue, rest string) {
	for _, o := range c.queuesByHost[host] {
		if strings.HasPrefix(path, o.Prefix) && (q == nil || len(o.Prefix) > len(q.Prefix)) {
			q = o
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Prefix):]
}

// Queue returns the queue of that name, or nil.
func (c *Configuration) Queue(n QueueName) *Queue { return c.queuesByName[n] }

// Pool returns the pool of that name, or nil.
func (c *Configuration) Pool(n PoolName) *Pool { return c.poolsByName[n] }

// Account returns the account of that name, or nil.
func (c *Configuration) Account(n AccountName) *Account { return c.accountsByName[n] }

// AccountForKey returns the account whose key it is.
func (c *Configuration) AccountForKey(key string) (AccountName, bool) {
	a, ok := c.accountNamesByKey[key]
	return a, ok
}
