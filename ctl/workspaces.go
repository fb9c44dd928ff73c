package ctl

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/chestnutfield/chestnutfield/admin/api"
)

// writeWorkspaces lists workspaces with the number of their keys; get shows the
// digests.
func writeWorkspaces(w io.Writer, l api.Listing) {
	if !l.KeysRequired {
		fmt.Fprintln(w, "; there is no workspaces table: requests need no keys")
	}
	t := newTable(w, "WORKSPACE", "KEYS", "RANK", "RATE/S", "BURST", "REGIONS")
	for _, name := range sortedKeys(l.Workspaces) {
		ws := l.Workspaces[name]
		rank := ""
		if ws.Rank != nil {
			rank = strconv.Itoa(*ws.Rank)
		}
		t.row(name, strconv.Itoa(len(ws.Keys)), rank, numberOrNone(ws.RatePerSecond), numberOrNone(ws.Burst), strings.Join(ws.Regions, ","))
	}
	t.flush()
}

// numberOrNone returns a number as text, "" for 0.
func numberOrNone(n float64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func writeDomains(w io.Writer, evacuated []string) {
	t := newTable(w, "EVACUATED")
	for _, domain := range evacuated {
		t.row(domain)
	}
	t.flush()
}
