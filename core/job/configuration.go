package job

import (
	"strings"
	"time"
)

// ConfigVersion numbers the configurations. A configuration never replaces one with a
// higher version.
type ConfigVersion int64

// Queue accepts jobs from callers and determines how they run.
type Queue struct {
	Name        QueueName
	Host        string
	Prefix      string
	Pool        PoolName
	Priority    int
	MaxAttempts int
	// Stretch is the factor by which a job's run time is multiplied to give its objective,
	// the time by which it should be complete.
	Stretch float64
	// LatencyAllowance is added to the stretched run time to give the objective.
	LatencyAllowance time.Duration
	// Timeout limits the duration of a caller's call to the queue.
	Timeout time.Duration
	// Public queues accept calls without a key.
	Public bool
	// Approval is set if another service must approve the VMs that may run a step.
	Approval *Approval
}

// Approval describes the response times of the service that approves VMs for a step
// and the validity of its approvals.
type Approval struct {
	DecisionTime time.Duration
	TimePerVM    time.Duration
	ValidPeriod  time.Duration
}

// Pool is a group of VMs.
type Pool struct {
	Name PoolName
	// Standby pools contain machines that are switched off.
	Standby bool
	// EnforcesCapacity is set if the pool's VMs refuse tasks that don't fit.
	EnforcesCapacity bool
}

// Account is a client account.
type Account struct {
	Name AccountName
	Keys []string
	// Weight is the account's share in jobs per second when the fleet is full. Zero
	// means that no share is set.
	Weight float64
	// Quota limits the total resources of the account's running tasks. A zero field
	// means no limit.
	Quota Resources
}

// Limits restrict the size and duration of callers' calls.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the settings that operators control.
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
	// meanWeight is the mean weight of the accounts that have one, or 1 if none has.
	meanWeight float64
}

// Index builds the lookup tables. It must be called once before any lookup method.
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
	c.meanWeight = meanWeight(c.Accounts)
}

func meanWeight(accounts []Account) float64 {
	sum, n := 0.0, 0
	for i := range accounts {
		if w := accounts[i].Weight; w > 0 {
			sum += w
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Route returns the queue of the host with the longest prefix of path, or nil if there
// is none, and the rest of the path after the prefix.
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

// Queue returns the queue with the given name, or nil.
func (c *Configuration) Queue(n QueueName) *Queue { return c.queuesByName[n] }

// Pool returns the pool with the given name, or nil.
func (c *Configuration) Pool(n PoolName) *Pool { return c.poolsByName[n] }

// Account returns the client account with the given name, or nil.
func (c *Configuration) Account(n AccountName) *Account { return c.accountsByName[n] }

// AccountForKey returns the client account that key belongs to.
func (c *Configuration) AccountForKey(key string) (AccountName, bool) {
	a, ok := c.accountNamesByKey[key]
	return a, ok
}

// ShareWeight returns the weight by which the account shares a pool that is full. An account
// without a weight of its own, or without an entry, counts like the mean of the others.
func (c *Configuration) ShareWeight(n AccountName) float64 {
	if a := c.accountsByName[n]; a != nil && a.Weight > 0 {
		return a.Weight
	}
	return c.meanWeight
}
