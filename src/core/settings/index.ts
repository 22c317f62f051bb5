/** Settings of a node, read from YAML. */
export type { NodeSettings, SettingsFile } from './types.ts'
export type { CheckedYaml, FieldPath, Problem, SettingsDocument } from './document.ts'
export { nodeSettingsSchema } from './schema.ts'
export { createSettings, loadSettings } from './load.ts'
export { peerKeyVariable } from './peer-key.ts'
export { checkYaml, fieldName, readDocument, readYaml, renderProblems, settingsInvalid } from './document.ts'
export { describeIssue } from './issues.ts'
export { renderNodeJsonSchema } from './json-schema.ts'
