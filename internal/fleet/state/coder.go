package state

import "encoding/binary"

// coder writes or reads the canonical encoding, so that both directions share one
// list of fields per type. Writing must not touch the fields: states share objects, and
// other goroutines read them. Integers are unsigned varints; strings and lists are
// preceded by their length.
type coder struct {
	buf    []byte
	decode bool
	// bad is set if the input is truncated or not canonical.
	bad bool
}

func (c *coder) u64(v *uint64) {
	if !c.decode {
		c.buf = binary.AppendUvarint(c.buf, *v)
		return
	}
	x, n := binary.Uvarint(c.buf)
	if n <= 0 || n > 1 && c.buf[n-1] == 0 {
		c.fail()
		*v = 0
		return
	}
	*v, c.buf = x, c.buf[n:]
}

// fail marks the input as bad and drops the rest of it.
func (c *coder) fail() { c.bad, c.buf = true, nil }

func (c *coder) u32(v *uint32) {
	x := uint64(*v)
	c.u64(&x)
	if x > 1<<32-1 {
		c.fail()
	}
	if c.decode {
		*v = uint32(x)
	}
}

// number codes a small named integer.
func number[T ~uint8](c *coder, v *T) {
	x := uint64(*v)
	c.u64(&x)
	if x > 255 {
		c.fail()
	}
	if c.decode {
		*v = T(x)
	}
}

func (c *coder) i64(v *int64) {
	x := uint64(*v)
	c.u64(&x)
	if c.decode {
		*v = int64(x)
	}
}

func (c *coder) flag(v *bool) {
	var x uint64
	if *v {
		x = 1
	}
	c.u64(&x)
	if x > 1 {
		c.fail()
	}
	if c.decode {
		*v = x == 1
	}
}

func (c *coder) str(v *string) {
	n := uint64(len(*v))
	c.u64(&n)
	if !c.decode {
		c.buf = append(c.buf, *v...)
		return
	}
	if n > uint64(len(c.buf)) {
		c.fail()
		*v = ""
		return
	}
	*v, c.buf = string(c.buf[:n]), c.buf[n:]
}

// list codes a slice. An element takes at least one byte, so that a length beyond
// the rest of the input is bad and allocates nothing.
func list[T any](c *coder, v *[]T, item func(*coder, *T)) {
	n := uint64(len(*v))
	c.u64(&n)
	if c.decode {
		if n > uint64(len(c.buf)) {
			c.fail()
			n = 0
		}
		*v = nil
		if n > 0 {
			*v = make([]T, n)
		}
	}
	for i := range *v {
		item(c, &(*v)[i])
	}
}
