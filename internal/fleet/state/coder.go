package state

import "encoding/binary"

// coder encodes to or decodes from the canonical encoding. Both directions use the same
// list of fields per type. Encoding must not write to the fields, because states share
// objects that other goroutines read. Integers are unsigned varints; strings and lists
// are preceded by their length.
type coder struct {
	buf    []byte
	decode bool
	// bad is true if the input is truncated or not canonical.
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

// fail marks the input as bad and discards the rest of it.
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

// codeEnum codes a value of an enumeration.
func codeEnum[T ~uint8](c *coder, v *T) {
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

func (c *coder) boolean(v *bool) {
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

// codeList codes a slice. Each element takes at least one byte, so a length above the
// number of remaining bytes is rejected before anything is allocated.
func codeList[T any](c *coder, v *[]T, item func(*coder, *T)) {
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
