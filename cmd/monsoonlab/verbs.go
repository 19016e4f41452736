package main

// verb is one verb of the command line.
type verb struct {
	name    string
	summary string
	usage   string // Printed by `monsoonlab help NAME`.
	command any    // Its fields are the flags; its Run method does the work.
}

// verbs returns the table of all verbs.
func verbs() []verb {
	return []verb{
		{"engine", "Serve a stand-in model engine.", engineUsage, &engineCommand{}},
		{"service", "Serve a stand-in plain service.", serviceUsage, &serviceCommand{}},
		{"store", "Serve a stand-in key-value service.", storeUsage, &storeCommand{}},
		{"list", "Serve a stand-in instance list.", listUsage, &listCommand{}},
		{"bench", "Measure placement policies.", benchUsage, &benchCommand{}},
		{"help", "Explain a verb.", helpUsage, &helpCommand{}},
	}
}
