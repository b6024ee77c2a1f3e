package maintenance

// WithoutHold and WithoutWait lack one safeguard each, for the tests outside
// this package.
var (
	WithoutHold = Driver{noHold: true}
	WithoutWait = Driver{noWait: true}
)
