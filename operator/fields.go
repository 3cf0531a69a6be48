package operator

import "reflect"

// fieldNamesByType lists the field names of each type of the intent file.
var fieldNamesByType = map[string][]string{
	"intentFile":    yamlFieldNames[intentFile](),
	"workspaceSpec": yamlFieldNames[workspaceSpec](),
	"modelSpec":     yamlFieldNames[modelSpec](),
	"serviceSpec":   yamlFieldNames[serviceSpec](),
	"routeSpec":     yamlFieldNames[routeSpec](),
	"endpointSpec":  yamlFieldNames[endpointSpec](),
	"policySpec":    yamlFieldNames[policySpec](),
	"zoneSpec":      yamlFieldNames[zoneSpec](),
}

func yamlFieldNames[T any]() []string {
	var names []string
	structType := reflect.TypeFor[T]()
	for i := range structType.NumField() {
		names = append(names, structType.Field(i).Tag.Get("yaml"))
	}
	return names
}
