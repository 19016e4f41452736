package verb

// The roles of the daemon. Each registers itself with the kernel.
import (
	_ "monsoonfork/core/config/relay" // Config
	_ "monsoonfork/core/keys"         // Keys
	_ "monsoonfork/core/membership"   // Membership
	_ "monsoonfork/io/store"          // Store
)
