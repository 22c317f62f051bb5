/** Generates the JSON Schema of the settings, which editors use. */
import { z } from 'zod'
import { nodeSettingsSchema } from './schema.ts'

/** Renders the JSON Schema of a node's settings file; the output is committed as schemas/node.schema.json. */
export function renderNodeJsonSchema (): string {
  const schema = z.toJSONSchema(nodeSettingsSchema, { io: 'input' })
  return JSON.stringify({ title: 'cyclamenshunt node settings', ...schema }, null, 2) + '\n'
}
