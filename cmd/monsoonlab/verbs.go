package main

// verb is one row of the table of verbs.
type verb struct {
	name    string
	summary string
	command any // A pointer to a kong command with Help and Run methods.
}

// verbs returns the table of all verbs, in the order in which help shows them.
func verbs() []verb {
	return []verb{
		{"engine", "Serve a stand-in model engine.", &engineCommand{}},
		{"service", "Serve a stand-in plain service.", &serviceCommand{}},
		{"store", "Serve a stand-in key-value service.", &storeCommand{}},
		{"list", "Serve a stand-in instance list.", &listCommand{}},
		{"quickstart", "Show a small fleet at work.", &quickstartCommand{}},
		{"load", "Send a workload to a fleet and report.", &loadCommand{}},
		{"soak", "Run a fleet under random faults and check what must hold.", &soakCommand{}},
		{"platform-soak", "Run instances as on the platform under random faults and check what must hold.", &platformSoakCommand{}},
		{"rates", "Send above an organisation's rate under faults and check every window.", &ratesCommand{}},
		{"bench", "Measure placement policies.", &benchCommand{}},
		{"handover", "Measure the hand-over of a dispatcher.", &handoverCommand{}},
		{"statuslatency", "Measure status calls while the engines are full.", &statusLatencyCommand{}},
		{"slopes", "Measure what a daemon costs at several sizes.", &slopesCommand{}},
		{"overhead", "Measure what monsoonfork adds to a call.", &overheadCommand{}},
		{"help", "Explain a verb.", &helpCommand{}},
	}
}
