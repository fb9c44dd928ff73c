// Command chestnutd runs one entry host.
package main

func main() {}
