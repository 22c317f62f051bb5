/** Writes the JSON Schemas that editors use. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { renderNodeJsonSchema } from '../src/core/settings/index.ts'

mkdirSync('schemas', { recursive: true })
writeFileSync('schemas/node.schema.json', renderNodeJsonSchema())
