package settings

import "strconv"

func quoted(s string) string { return strconv.Quote(s) }

func number(v int64) string { return strconv.FormatInt(v, 10) }
