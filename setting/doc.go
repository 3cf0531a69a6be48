// Package setting reads the settings of a program from flags, environment
// variables and a settings file, validates them and reports all errors at once.
//
// Each setting has one name. For the flag -tls-cert, the environment variable is
// the same name in upper case with underscores and the prefix LILACKEEL_, here
// LILACKEEL_TLS_CERT, and the line in the settings file is "tls-cert = value".
// Flags override the environment, which overrides the settings file, which
// overrides the default. An empty environment variable counts as not set.
//
// Parse collects every error (unknown flags, malformed values, missing values,
// contradictions) instead of stopping at the first, so that one failed start is
// enough to correct a configuration. Each error states its remedy.
//
// The flags -check, -version and -help are built in: they are actions rather
// than settings and have no environment variable.
package setting
