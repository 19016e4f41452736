package verb

// These packages register the roles of the daemon, named behind each, with the kernel.
import (
	_ "monsoonfork/core/budget"       // Budget
	_ "monsoonfork/core/claims"       // Claims
	_ "monsoonfork/core/config/relay" // Config
	_ "monsoonfork/core/keys"         // Keys
	_ "monsoonfork/core/membership"   // Membership
	_ "monsoonfork/core/orders"       // Orders
	_ "monsoonfork/core/placement"    // Placement
	_ "monsoonfork/core/reaper"       // Reaper
	_ "monsoonfork/io/caller"         // Caller
	_ "monsoonfork/io/engine"         // Engines
	_ "monsoonfork/io/instancelist"   // InstanceList
	_ "monsoonfork/io/operator"       // Operator, Process
	_ "monsoonfork/io/peer"           // Links
	_ "monsoonfork/io/store"          // Store
	_ "monsoonfork/platform"          // Routing
)
