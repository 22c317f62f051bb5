import test from 'ava'
import { createError, errorCatalogue, isErrorOf } from '../../src/core/errors/index.ts'

test('every error has a title, a message and a hint that ends as a sentence', t => {
  for (const [name, definition] of Object.entries(errorCatalogue)) {
    t.true(definition.title.length > 0, name)
    t.regex(definition.hint, /\.$/, name)
  }
})

test('an error of the catalogue is told by its kind and names its remedy', t => {
  const error = createError('BadRequest', { problem: 'the body is empty' })
  t.true(isErrorOf(error, 'BadRequest'))
  t.false(isErrorOf(error, 'LeaseLost'))
  t.regex(error.message, /the body is empty.*Correct the request/s)
})
