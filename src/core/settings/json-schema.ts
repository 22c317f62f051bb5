/** The JSON Schema of the settings, for editors. */
import { z } from 'zod'
import { nodeSettingsSchema } from './schema.ts'

/** Renders the JSON Schema of a node's settings file, as schemas/node.schema.json holds it. */
export function renderNodeJsonSchema (): string {
  const schema = z.toJSONSchema(nodeSettingsSchema, { io: 'input' })
  return JSON.stringify({ title: 'cyclamenshunt node settings', ...schema }, null, 2) + '\n'
}
