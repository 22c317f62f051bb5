/** Lists the generated files of the repository. */
import { renderNodeJsonSchema } from '../../src/core/settings/index.ts'
import { renderErrorsPage, renderEventsPage } from './catalogues.ts'
import { renderSettingsPage } from './settings.ts'

/** Path of each generated file and the function that renders it. */
export const generatedFiles: Record<string, () => string> = {
  'docs/ERRORS.md': renderErrorsPage,
  'docs/EVENTS.md': renderEventsPage,
  'docs/operators/settings.md': renderSettingsPage,
  'schemas/node.schema.json': renderNodeJsonSchema
}
