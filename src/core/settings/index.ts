/** Settings of a node, read from YAML. */
export type { NodeSettings, SettingsFile } from './types.ts'
export type { FieldPath, Problem, SettingsDocument } from './document.ts'
export { nodeSettingsSchema } from './schema.ts'
export { createSettings, loadSettings, peerKeyVariable } from './load.ts'
export { fieldName, readDocument, readYaml, renderProblems, settingsInvalid } from './document.ts'
export { describeIssue } from './issues.ts'
export { renderNodeJsonSchema } from './json-schema.ts'
