import { readFileSync } from 'node:fs'
import test from 'ava'
import { renderNodeJsonSchema } from '../../src/core/settings/index.ts'

test('the committed JSON Schema is the one that the code generates', t => {
  t.is(readFileSync('schemas/node.schema.json', 'utf8'), renderNodeJsonSchema(), 'run "npx tsx scripts/schemas.ts"')
})
