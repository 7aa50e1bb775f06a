package model

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Account is a client account of the configuration.
type Account struct {
	Name string
	// Weight is the account's share of a full pool, and the number of jobs a second up to which it is
	// owed service.
	Weight float64
	// Limit bounds what the tasks of its jobs may use at the same time. A resource that is 0 has no
	// limit.
	Limit Amount
	// Keys are the digests of its keys.
	Keys []KeyDigest
}

// IsLimited reports whether the account has a limit for any resource.
func (a *Account) IsLimited() bool { return a.Limit != Amount{} }

// Allows reports whether an amount is within the account's limit.
func (a *Account) Allows(used Amount) bool {
	within := func(x, limit int64) bool { return limit == 0 || x <= limit }
	return within(used.Cores, a.Limit.Cores) && within(used.Memory, a.Limit.Memory) && within(used.Accelerators, a.Limit.Accelerators)
}

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// AccountByName returns a client account, or nil.
func (c *Config) AccountByName(name string) *Account { return c.accounts[name] }

// AccountByKey returns the client account that has a key, or nil. The time that it takes does not
// depend on how much of a key is right: keys are found by their digests, which a caller can't choose
// byte by byte.
func (c *Config) AccountByKey(d KeyDigest) *Account {
	k, ok := c.keys[d]
	if !ok || subtle.ConstantTimeCompare(k.digest[:], d[:]) != 1 {
		return nil
	}
	return k.account
}

// accountKey is a key of an account.
type accountKey struct {
	digest  KeyDigest
	account *Account
}

// indexAccounts builds the indexes of the accounts.
func (c *Config) indexAccounts() {
	c.accounts, c.keys = make(map[string]*Account, len(c.Accounts)), map[KeyDigest]accountKey{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		c.accounts[a.Name] = a
		for _, k := range a.Keys {
			c.keys[k] = accountKey{k, a}
		}
	}
}
