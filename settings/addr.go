package settings

import (
	"strconv"
	"strings"
)

// validAddr reports whether value has the form IP:port, with an IPv6 address in
// brackets. Only peer packages may import net and its subpackages, including
// net/netip, so the check is implemented here. It does not find all invalid IPv6
// addresses, such as one with too many groups; listening or dialling fails then.
func validAddr(value string) bool {
	i := strings.LastIndexByte(value, ':')
	if i < 0 || !validNumber(value[i+1:], 65535) {
		return false
	}
	host := value[:i]
	if strings.HasPrefix(host, "[") && strings.HasSuffix(host, "]") {
		inner := host[1 : len(host)-1]
		return len(inner) >= 2 && strings.Contains(inner, ":") && strings.Trim(inner, "0123456789abcdefABCDEF:.") == ""
	}
	octets := strings.Split(host, ".")
	if len(octets) != 4 {
		return false
	}
	for _, o := range octets {
		if !validNumber(o, 255) {
			return false
		}
	}
	return true
}

// validNumber reports whether s is a decimal number from 0 to high without leading
// zeros.
func validNumber(s string, high int) bool {
	n, err := strconv.Atoi(s)
	return err == nil && n >= 0 && n <= high && s == strconv.Itoa(n)
}
