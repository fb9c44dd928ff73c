package ctl

import "time"

// grammar defines the command line: global flags and commands, as kong reads
// them from the struct tags.
type grammar struct {
	Admin  string `help:"Admin address of a host; all commands but config need it." env:"CHESTNUT_ADMIN" placeholder:"http://IP:PORT"`
	Token  string `help:"Token of the admin API." env:"CHESTNUT_TOKEN" placeholder:"T"`
	Output string `help:"Form of the output: text or json." enum:"text,json" default:"text"`
	CA     string `help:"File with the certificate authority of the hosts." type:"existingfile" placeholder:"FILE" group:"TLS"`
	Cert   string `help:"File with the client certificate." type:"existingfile" placeholder:"FILE" group:"TLS"`
	Key    string `help:"File with the key of the client certificate." type:"existingfile" placeholder:"FILE" group:"TLS"`

	Pools  tableCmd `cmd:"" help:"The pools table."`
	Routes tableCmd `cmd:"" help:"The routes table."`

	Workspaces tableCmd  `cmd:"" help:"The workspaces table; deleting the row * removes it, after which requests need no keys."`
	Domains    domainCmd `cmd:"" help:"The failure domains that are evacuated."`

	Status statusCmd `cmd:"" help:"Show the host, its peers, the version in force at each, and the pools."`
	Wait   waitCmd   `cmd:"" help:"Wait until a version is in force on every live host."`
	Change changeCmd `cmd:"" help:"Ask what became of a change that ended as unknown."`
	Config configCmd `cmd:"" help:"Configurations as files."`
}

type tableCmd struct {
	List    listCmd    `cmd:"" help:"List all rows."`
	Get     getCmd     `cmd:"" help:"Show one row."`
	Apply   applyCmd   `cmd:"" help:"Add or replace the rows that a file names."`
	Delete  deleteCmd  `cmd:"" help:"Delete one row."`
	History historyCmd `cmd:"" help:"List accepted changes, oldest first."`
}

type domainCmd struct {
	List     listCmd     `cmd:"" help:"List the evacuated failure domains."`
	Evacuate evacuateCmd `cmd:"" help:"Keep requests from the targets of a failure domain."`
	Restore  deleteCmd   `cmd:"" help:"End the evacuation of a failure domain."`
	History  historyCmd  `cmd:"" help:"List accepted changes, oldest first."`
}

type evacuateCmd struct {
	Name string `arg:""`
	changeFlags
}

type listCmd struct{}

type getCmd struct {
	Name string `arg:""`
}

type changeFlags struct {
	IfVersion *uint64 `help:"Refuse with a conflict unless this is the accepted version." placeholder:"N"`
	ChangeID  string  `help:"Send a change again under its id; it is applied once." placeholder:"ID"`
	Author    string  `help:"Name for the history." env:"USER" placeholder:"NAME"`
}

type applyCmd struct {
	File string `arg:"" help:"INI file, - for standard input."`
	changeFlags
}

type deleteCmd struct {
	Name string `arg:""`
	changeFlags
}

type historyCmd struct {
	Limit int `help:"Look at this many of the latest versions." default:"50"`
}

type statusCmd struct{}

type waitCmd struct {
	Version uint64        `help:"The version." required:"" placeholder:"N"`
	Timeout time.Duration `help:"How long to wait." default:"12s" placeholder:"D"`
}

type changeCmd struct {
	ID   string `arg:"" help:"The change id."`
	Base uint64 `help:"The version that the change was made from." required:"" placeholder:"N"`
}
