package ctl

import "time"

// grammar is the command line.
type grammar struct {
	Admin  string `help:"Admin address of a host." required:"" env:"CHESTNUT_ADMIN" placeholder:"http://IP:PORT"`
	Token  string `help:"Token of the admin API." env:"CHESTNUT_TOKEN" placeholder:"T"`
	Output string `help:"Form of the output: text or json." enum:"text,json" default:"text"`
	CA     string `help:"File with the certificate authority of the hosts." type:"existingfile" placeholder:"FILE" group:"TLS"`
	Cert   string `help:"File with the client certificate." type:"existingfile" placeholder:"FILE" group:"TLS"`
	Key    string `help:"File with the key of the client certificate." type:"existingfile" placeholder:"FILE" group:"TLS"`

	Pools  tableGrammar  `cmd:"" help:"The pools table."`
	Routes tableGrammar  `cmd:"" help:"The routes table."`
	Status statusGrammar `cmd:"" help:"Show the host, its peers, the version in force at each, and the pools."`
	Wait   waitGrammar   `cmd:"" help:"Wait until a version is in force on every live host."`
	Change changeGrammar `cmd:"" help:"Ask what became of a change that ended as unknown."`
}

type tableGrammar struct {
	List    listGrammar    `cmd:"" help:"List all rows."`
	Get     getGrammar     `cmd:"" help:"Show one row."`
	Apply   applyGrammar   `cmd:"" help:"Add or replace the rows that a file names."`
	Delete  deleteGrammar  `cmd:"" help:"Delete one row."`
	History historyGrammar `cmd:"" help:"List accepted changes, oldest first."`
}

type listGrammar struct{}

type getGrammar struct {
	Name string `arg:""`
}

type changeFlags struct {
	IfVersion *uint64 `help:"Refuse with a conflict unless this is the accepted version." placeholder:"N"`
	ChangeID  string  `help:"Send a change again under its id; it is applied once." placeholder:"ID"`
	Author    string  `help:"Name for the history." env:"USER" placeholder:"NAME"`
}

type applyGrammar struct {
	File string `arg:"" help:"INI file, - for standard input."`
	changeFlags
}

type deleteGrammar struct {
	Name string `arg:""`
	changeFlags
}

type historyGrammar struct {
	Limit int `help:"Look at this many of the latest versions." default:"50"`
}

type statusGrammar struct{}

type waitGrammar struct {
	Version uint64        `help:"The version." required:"" placeholder:"N"`
	Timeout time.Duration `help:"How long to wait." default:"12s" placeholder:"D"`
}

type changeGrammar struct {
	ID   string `arg:"" help:"The change id."`
	Base uint64 `help:"The version that the change was made from." required:"" placeholder:"N"`
}
