/** Entry point of the binary. */
process.stdout.write('bilberrystall\n')
