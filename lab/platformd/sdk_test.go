package platformd_test

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	s3types "github.com/aws/aws-sdk-go-v2/service/s3/types"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/lab/platformd"
)

var tableName = aws.String("chestnutfield")

func start(o platformd.Options) *platformd.Server {
	s := platformd.New(o)
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.Close)
	return s
}

func tableClient(s *platformd.Server) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		Region: "local", BaseEndpoint: aws.String(s.URL()), Retryer: aws.NopRetryer{},
		Credentials: credentials.NewStaticCredentialsProvider("id", "secret", ""),
	})
}

func objectClient(s *platformd.Server) *s3.Client {
	return s3.New(s3.Options{
		Region: "local", BaseEndpoint: aws.String(s.URL()), Retryer: aws.NopRetryer{}, UsePathStyle: true,
		Credentials: credentials.NewStaticCredentialsProvider("id", "secret", ""),
	})
}

func stringAttr(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }
func numberAttr(n int) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.Itoa(n)}
}

func row(pk, sk string, rev int) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		"pk": stringAttr(pk), "sk": stringAttr(sk), "rev": numberAttr(rev), "writer": stringAttr("w1"),
		"B": &types.AttributeValueMemberB{Value: []byte{0, 1, 255}},
	}
}

func revisionValue(n int) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{":r": numberAttr(n)}
}

func putAbsent(pk, sk string) *dynamodb.PutItemInput {
	return &dynamodb.PutItemInput{
		TableName: tableName, Item: row(pk, sk, 1), ConditionExpression: aws.String("attribute_not_exists(pk)"),
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}
}

func get(c *dynamodb.Client, pk, sk string) map[string]types.AttributeValue {
	out, err := c.GetItem(context.Background(), &dynamodb.GetItemInput{
		TableName: tableName, ConsistentRead: aws.Bool(true),
		Key: map[string]types.AttributeValue{"pk": stringAttr(pk), "sk": stringAttr(sk)},
	})
	Expect(err).NotTo(HaveOccurred())
	return out.Item
}

var _ = Describe("the table service, through the SDK", func() {
	ctx := context.Background()

	It("stores all attributes and rejects a write whose condition fails", func() {
		c := tableClient(start(platformd.Options{}))
		_, err := c.PutItem(ctx, putAbsent("p", "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(get(c, "p", "a")).To(Equal(row("p", "a", 1)))
		Expect(get(c, "p", "b")).To(BeEmpty())

		_, err = c.PutItem(ctx, putAbsent("p", "a"))
		var failed *types.ConditionalCheckFailedException
		Expect(err).To(MatchErrorType(&failed))
		Expect(failed.Item).To(Equal(row("p", "a", 1)))

		remove := &dynamodb.DeleteItemInput{
			TableName: tableName, Key: map[string]types.AttributeValue{"pk": stringAttr("p"), "sk": stringAttr("a")},
			ConditionExpression: aws.String("rev = :r"), ExpressionAttributeValues: revisionValue(2),
		}
		_, err = c.DeleteItem(ctx, remove)
		Expect(err).To(MatchErrorType(&failed))
		remove.ExpressionAttributeValues = revisionValue(1)
		_, err = c.DeleteItem(ctx, remove)
		Expect(err).NotTo(HaveOccurred())
		Expect(get(c, "p", "a")).To(BeEmpty())
	})

	It("returns query results in order, after a key and in pages", func() {
		c := tableClient(start(platformd.Options{}))
		for _, sk := range []string{"c", "a", "d", "b"} {
			_, err := c.PutItem(ctx, putAbsent("p", sk))
			Expect(err).NotTo(HaveOccurred())
		}
		out, err := c.Query(ctx, &dynamodb.QueryInput{
			TableName: tableName, KeyConditionExpression: aws.String("pk = :p AND sk > :a"), Limit: aws.Int32(2),
			ExpressionAttributeValues: map[string]types.AttributeValue{":p": stringAttr("p"), ":a": stringAttr("a")},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(out.Items).To(Equal([]map[string]types.AttributeValue{row("p", "b", 1), row("p", "c", 1)}))
		Expect(out.LastEvaluatedKey).To(HaveKeyWithValue("sk", stringAttr("c")))
	})

	It("applies a transaction atomically and returns a reason for each entry if it fails", func() {
		c := tableClient(start(platformd.Options{}))
		_, err := c.PutItem(ctx, putAbsent("p", "a"))
		Expect(err).NotTo(HaveOccurred())
		entry := func(sk string) types.TransactWriteItem {
			return types.TransactWriteItem{Put: &types.Put{
				TableName: tableName, Item: row("p", sk, 9), ConditionExpression: aws.String("attribute_not_exists(pk)"),
				ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
			}}
		}
		in := &dynamodb.TransactWriteItemsInput{TransactItems: []types.TransactWriteItem{entry("new"), entry("a")}}
		_, err = c.TransactWriteItems(ctx, in)
		var cancelled *types.TransactionCanceledException
		Expect(err).To(MatchErrorType(&cancelled))
		Expect(cancelled.CancellationReasons).To(HaveLen(2))
		Expect(*cancelled.CancellationReasons[0].Code).To(Equal("None"))
		Expect(*cancelled.CancellationReasons[1].Code).To(Equal("ConditionalCheckFailed"))
		Expect(cancelled.CancellationReasons[1].Item).To(Equal(row("p", "a", 1)))
		Expect(get(c, "p", "new")).To(BeEmpty())

		in.TransactItems = []types.TransactWriteItem{entry("x"), entry("y")}
		_, err = c.TransactWriteItems(ctx, in)
		Expect(err).NotTo(HaveOccurred())
		Expect(get(c, "p", "y")).To(Equal(row("p", "y", 9)))
	})

	DescribeTable("rejects unsupported calls",
		func(change func(*dynamodb.PutItemInput), want string) {
			c := tableClient(start(platformd.Options{}))
			in := putAbsent("p", "a")
			change(in)
			_, err := c.PutItem(ctx, in)
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("another condition", func(in *dynamodb.PutItemInput) {
			in.ConditionExpression = aws.String("size(B) > :r")
		}, "ValidationException"),
		Entry("another table", func(in *dynamodb.PutItemInput) { in.TableName = aws.String("other") }, "ResourceNotFoundException"),
		Entry("no sort key", func(in *dynamodb.PutItemInput) { delete(in.Item, "sk") }, "ValidationException"),
	)

	It("throttles calls that exceed its capacity and counts them", func() {
		s := start(platformd.Options{WritesPerSecond: 1})
		c := tableClient(s)
		_, err := c.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: []types.TransactWriteItem{
			{Put: &types.Put{TableName: tableName, Item: row("p", "a", 1)}},
			{Put: &types.Put{TableName: tableName, Item: row("p", "b", 1)}},
		}})
		Expect(err).To(MatchError(ContainSubstring("ProvisionedThroughputExceededException")))
		Expect(s.Stats().Operations["TransactWriteItems"].Throttled).To(BeEquivalentTo(1))
		Expect(get(c, "p", "a")).To(BeEmpty())
	})
})

var _ = Describe("the object store, through the SDK", func() {
	ctx := context.Background()

	It("returns a stored object, and NoSuchKey for a missing one", func() {
		c := objectClient(start(platformd.Options{}))
		bucket, key := aws.String("snapshots"), aws.String("tables/7.json")
		body := bytes.Repeat([]byte("chestnut"), 40<<10)
		_, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: bucket, Key: key, Body: bytes.NewReader(body)})
		Expect(err).NotTo(HaveOccurred())
		out, err := c.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: key, ChecksumMode: s3types.ChecksumModeEnabled})
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(out.Body)).To(Equal(body))
		head, err := c.HeadObject(ctx, &s3.HeadObjectInput{Bucket: bucket, Key: key})
		Expect(err).NotTo(HaveOccurred())
		Expect(*head.ContentLength).To(BeEquivalentTo(len(body)))

		_, err = c.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: bucket, Key: key})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: key})
		var missing *s3types.NoSuchKey
		Expect(err).To(MatchErrorType(&missing))
	})

	It("rejects a body that does not match its checksum", func() {
		c := objectClient(start(platformd.Options{}))
		_, err := c.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String("b"), Key: aws.String("k"), Body: strings.NewReader("x"), ChecksumCRC32: aws.String("AAAAAA=="),
		})
		Expect(err).To(MatchError(ContainSubstring("BadDigest")))
	})
})
