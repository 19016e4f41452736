package main

// verb is one verb of the command line.
type verb struct {
	name    string
	summary string
	command any // A pointer to a kong command with Help and Run methods.
}

// verbs returns all verbs, in the order in which help lists them.
func verbs() []verb {
	return []verb{
		{"engine", "Serve a stand-in model engine.", &engineCommand{}},
		{"service", "Serve a stand-in plain service.", &serviceCommand{}},
		{"store", "Serve a stand-in key-value service.", &storeCommand{}},
		{"list", "Serve a stand-in instance list.", &listCommand{}},
		{"quickstart", "Demonstrate a small fleet.", &quickstartCommand{}},
		{"load", "Send a workload to a fleet and report the results.", &loadCommand{}},
		{"soak", "Run a fleet under random faults and check its promises.", &soakCommand{}},
		{"platform-soak", "Run instances as on the platform under random faults and check their promises.", &platformSoakCommand{}},
		{"rates", "Exceed an organisation's rate under faults and check the limit in every window.", &ratesCommand{}},
		{"judge-rates", "Compare logged admissions and refusals with one exact token bucket.", &judgeRatesCommand{}},
		{"bench", "Compare placement policies under load.", &benchCommand{}},
		{"handover", "Measure the failover of a dispatcher.", &handoverCommand{}},
		{"statuslatency", "Measure the latency of status calls while the engines are saturated.", &statusLatencyCommand{}},
		{"slopes", "Measure the resource use of a daemon at several fleet sizes.", &slopesCommand{}},
		{"overhead", "Measure the latency that monsoonfork adds to a call.", &overheadCommand{}},
		{"help", "Show the usage text of a verb.", &helpCommand{}},
	}
}
